package catalog

import (
	"fmt"
	"strings"
)

// InvalidError says what is wrong with a document.
type InvalidError struct {
	// Where names the part, for instance `route "a"`.
	Where  string
	Reason string
	Remedy string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("catalog: %s: %s; %s", e.Where, e.Reason, e.Remedy)
}

// Validate checks the whole document and gives an *InvalidError for the first
// fault.
func (c *Catalog) Validate() error {
	services := map[string]bool{}
	for i := range c.Services {
		name := c.Services[i].Name
		if name == "" || services[name] {
			return &InvalidError{Where: fmt.Sprintf("service %q", name), Reason: "the name is empty or stands twice", Remedy: "give each service a name of its own"}
		}
		services[name] = true
	}
	if err := c.validateRoutes(services); err != nil {
		return err
	}
	return c.validateKeys()
}

func (c *Catalog) validateRoutes(services map[string]bool) error {
	type place struct{ host, prefix string }
	places := map[place]string{}
	for i := range c.Routes {
		r := &c.Routes[i]
		where := fmt.Sprintf("route %q", r.Name)
		if err := r.validate(where, services); err != nil {
			return err
		}
		at := place{r.Host, r.PathPrefix}
		if other, taken := places[at]; taken {
			return &InvalidError{Where: where, Reason: fmt.Sprintf("route %q has the same host and path prefix", other), Remedy: "remove one of them"}
		}
		places[at] = r.Name
	}
	return nil
}

func (r *Route) validate(where string, services map[string]bool) error {
	if r.Timeout <= 0 {
		return &InvalidError{Where: where, Reason: "the timeout is not above 0", Remedy: "set a timeout"}
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return &InvalidError{Where: where, Reason: fmt.Sprintf("the path prefix %q does not begin and end with a slash", r.PathPrefix), Remedy: "add the slash"}
	}
	if r.MaxRunners < 1 {
		return &InvalidError{Where: where, Reason: "no runner may execute a request", Remedy: "allow one or more"}
	}
	weight := 0
	for _, t := range r.Targets {
		if !services[t.Service] {
			return unknownService(where, t.Service)
		}
		if t.Weight < 0 {
			return &InvalidError{Where: where, Reason: "a weight is negative", Remedy: "use 0 or more"}
		}
		weight += t.Weight
	}
	if weight == 0 {
		return &InvalidError{Where: where, Reason: "the weights add up to 0", Remedy: "give at least one service a weight"}
	}
	for i, s := range r.Stages {
		if !services[s.Service] {
			return unknownService(where, s.Service)
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return &InvalidError{Where: where, Reason: fmt.Sprintf("stage %d follows stage %d, which does not stand before it", i, a), Remedy: "put stages in their order"}
			}
		}
	}
	return nil
}

func unknownService(where, name string) error {
	return &InvalidError{Where: where, Reason: fmt.Sprintf("service %q is not in the document", name), Remedy: "add the service or correct its name"}
}

func (c *Catalog) validateKeys() error {
	holders := map[string]string{}
	names := map[string]bool{}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		where := fmt.Sprintf("workspace %q", w.Name)
		if names[w.Name] {
			return &InvalidError{Where: where, Reason: "the name stands twice", Remedy: "give each workspace a name of its own"}
		}
		names[w.Name] = true
		for _, k := range w.Keys {
			if other, taken := holders[k]; taken && other != w.Name {
				return &InvalidError{Where: where, Reason: fmt.Sprintf("one of its keys belongs to workspace %q too", other), Remedy: "issue a new key"}
			}
			holders[k] = w.Name
		}
	}
	return nil
}
