package catalog

import (
	"sort"
	"strings"
)

// Table is a catalog with lookup indexes. It is immutable.
type Table struct {
	*Catalog
	// routesByHost holds the routes of each host in lower case, sorted from the
	// longest to the shortest path prefix.
	routesByHost    map[string][]*Route
	servicesByName  map[string]*Service
	workspacesByKey map[string]*Workspace
}

// NewTable returns a table of a valid catalog. The catalog must not be changed
// afterwards.
func NewTable(c *Catalog) *Table {
	t := &Table{
		Catalog:         c,
		routesByHost:    map[string][]*Route{},
		servicesByName:  map[string]*Service{},
		workspacesByKey: map[string]*Workspace{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	for i := range c.Services {
		t.servicesByName[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		for _, k := range w.Keys {
			t.workspacesByKey[k] = w
		}
	}
	return t
}

// Route returns the route with the longest matching path prefix for a host and
// path, nil if there is none. The case and the port of the host are ignored.
func (t *Table) Route(host, path string) *Route {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		if _, ok := t.routesByHost[host]; !ok {
			host = host[:i]
		}
	}
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with a name, nil if there is none.
func (t *Table) Service(name string) *Service { return t.servicesByName[name] }

// WorkspaceOf returns the workspace of an API key, nil if the key is unknown.
func (t *Table) WorkspaceOf(key string) *Workspace { return t.workspacesByKey[key] }

// NeedsKeys reports whether requests to routes that are not public need a key.
func (t *Table) NeedsKeys() bool { return len(t.Workspaces) > 0 }

// Pick returns the service of a target chosen by weight. The random number draw
// must be in [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	offset := int(draw * float64(total))
	for _, t := range r.Targets {
		if offset < t.Weight {
			return t.Service
		}
		offset -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
