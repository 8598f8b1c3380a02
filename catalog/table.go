package catalog

import (
	"sort"
	"strings"
)

// Table is a catalog with its lookups. It is immutable.
type Table struct {
	*Catalog
	// hosts holds the routes of each host, longest prefix first.
	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]*Workspace
}

// NewTable indexes a valid catalog, which must not change afterwards.
func NewTable(c *Catalog) *Table {
	t := &Table{
		Catalog:  c,
		hosts:    map[string][]*Route{},
		services: map[string]*Service{},
		keys:     map[string]*Workspace{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		for _, k := range w.Keys {
			t.keys[k] = w
		}
	}
	return t
}

// Route gives the route of a host and path with the longest prefix, nil if
// there is none.
func (t *Table) Route(host, path string) *Route {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		if _, ok := t.hosts[host]; !ok {
			host = host[:i]
		}
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service gives a service by name, nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// WorkspaceOf gives the workspace that holds a key, nil if none does.
func (t *Table) WorkspaceOf(key string) *Workspace { return t.keys[key] }

// NeedsKeys says whether requests to routes that are not public carry a key.
func (t *Table) NeedsKeys() bool { return len(t.Workspaces) > 0 }

// Pick gives the target for draw, a number in [0, 1), by weight.
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	left := int(draw * float64(total))
	for _, t := range r.Targets {
		if left < t.Weight {
			return t.Service
		}
		left -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
