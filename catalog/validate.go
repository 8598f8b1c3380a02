package catalog

import (
	"fmt"
	"strings"
)

// InvalidError describes an invalid part of a document and its remedy.
type InvalidError struct {
	// Subject identifies the invalid part, for example `route "a"`.
	Subject string
	Reason  string
	Remedy  string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("catalog: %s: %s; %s", e.Subject, e.Reason, e.Remedy)
}

// Validate checks the whole document and returns an *InvalidError for the first
// invalid part.
func (c *Catalog) Validate() error {
	services := map[string]bool{}
	for i := range c.Services {
		name := c.Services[i].Name
		if name == "" || services[name] {
			return &InvalidError{Subject: fmt.Sprintf("service %q", name), Reason: "the name is empty or duplicated", Remedy: "give each service a unique name"}
		}
		services[name] = true
	}
	if err := c.validateRoutes(services); err != nil {
		return err
	}
	return c.validateWorkspaces()
}

func (c *Catalog) validateRoutes(services map[string]bool) error {
	type routeKey struct{ host, prefix string }
	routeNames := map[routeKey]string{}
	for i := range c.Routes {
		r := &c.Routes[i]
		subject := fmt.Sprintf("route %q", r.Name)
		if err := r.validate(subject, services); err != nil {
			return err
		}
		key := routeKey{r.Host, r.PathPrefix}
		if other, duplicate := routeNames[key]; duplicate {
			return &InvalidError{Subject: subject, Reason: fmt.Sprintf("route %q has the same host and path prefix", other), Remedy: "remove one of them"}
		}
		routeNames[key] = r.Name
	}
	return nil
}

func (r *Route) validate(subject string, services map[string]bool) error {
	if r.Timeout <= 0 {
		return &InvalidError{Subject: subject, Reason: "the timeout is not greater than 0", Remedy: "set a timeout"}
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return &InvalidError{Subject: subject, Reason: fmt.Sprintf("the path prefix %q does not begin and end with a slash", r.PathPrefix), Remedy: "add the slash"}
	}
	if r.MaxRunners < 1 {
		return &InvalidError{Subject: subject, Reason: "no runner may execute a request", Remedy: "allow at least one runner"}
	}
	weight := 0
	for _, t := range r.Targets {
		if !services[t.Service] {
			return unknownServiceError(subject, t.Service)
		}
		if t.Weight < 0 {
			return &InvalidError{Subject: subject, Reason: "a weight is negative", Remedy: "use a weight of 0 or more"}
		}
		weight += t.Weight
	}
	if weight == 0 {
		return &InvalidError{Subject: subject, Reason: "the weights add up to 0", Remedy: "give at least one service a weight"}
	}
	for i, s := range r.Stages {
		if !services[s.Service] {
			return unknownServiceError(subject, s.Service)
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return &InvalidError{Subject: subject, Reason: fmt.Sprintf("stage %d follows stage %d, which does not stand before it", i, a), Remedy: "put stages in their order"}
			}
		}
	}
	return nil
}

func unknownServiceError(subject, name string) error {
	return &InvalidError{Subject: subject, Reason: fmt.Sprintf("service %q is not in the document", name), Remedy: "add the service or correct its name"}
}

func (c *Catalog) validateWorkspaces() error {
	keyOwners := map[string]string{}
	names := map[string]bool{}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		subject := fmt.Sprintf("workspace %q", w.Name)
		if names[w.Name] {
			return &InvalidError{Subject: subject, Reason: "the name is duplicated", Remedy: "give each workspace a unique name"}
		}
		names[w.Name] = true
		for _, k := range w.Keys {
			if other, duplicate := keyOwners[k]; duplicate && other != w.Name {
				return &InvalidError{Subject: subject, Reason: fmt.Sprintf("one of its keys belongs to workspace %q too", other), Remedy: "issue a new key"}
			}
			keyOwners[k] = w.Name
		}
	}
	return nil
}
