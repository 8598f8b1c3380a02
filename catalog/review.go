package catalog

import (
	"fmt"
	"strings"
	"time"
)

// FindingKind classifies what Review has found.
type FindingKind string

// Kinds of findings.
const (
	// NeverUsed is an entry that no request can match.
	NeverUsed FindingKind = "never_used"
	// Contradiction is a limit that another one makes useless.
	Contradiction FindingKind = "contradiction"
)

// Finding is something in a valid catalog that is probably not meant.
type Finding struct {
	Kind    FindingKind `json:"kind"`
	Subject string      `json:"subject"`
	Reason  string      `json:"reason"`
	Remedy  string      `json:"remedy"`
}

func (f Finding) String() string {
	return fmt.Sprintf("%s: %s; %s", f.Subject, f.Reason, f.Remedy)
}

// reviewer collects the findings of a catalog.
type reviewer struct {
	catalog  *Catalog
	table    *Table
	findings []Finding
}

// Review returns what is probably not meant in a valid catalog, in its order.
func Review(c *Catalog) []Finding {
	r := &reviewer{catalog: c, table: NewTable(c)}
	for i := range c.Routes {
		r.reviewRoute(&c.Routes[i])
	}
	r.reviewServices()
	r.reviewWorkspaces()
	return r.findings
}

func (r *reviewer) add(kind FindingKind, subject, reason, remedy string) {
	r.findings = append(r.findings, Finding{Kind: kind, Subject: subject, Reason: reason, Remedy: remedy})
}

func (r *reviewer) reviewRoute(route *Route) {
	subject := fmt.Sprintf("route %q", route.Name)
	if r.table.Route(route.Host, route.PathPrefix) != route {
		r.add(NeverUsed, subject, "another route has its host, in other letters, and its path prefix", "remove one of them")
	}
	for _, t := range route.Targets {
		if t.Weight == 0 {
			r.add(NeverUsed, subject, fmt.Sprintf("service %q has weight 0", t.Service), "give it a weight or remove it")
		}
	}
	if route.LatencyObjective > route.Timeout {
		r.add(Contradiction, subject, fmt.Sprintf("its objective of %v is over its timeout of %v", route.LatencyObjective, route.Timeout), "raise the timeout")
	}
	if route.RetryPolicy == RetryNever && route.MaxRunners > 1 {
		r.add(Contradiction, subject, fmt.Sprintf("%d runners may execute a request that may be executed once", route.MaxRunners), "allow one runner")
	}
	if route.Streaming && route.MaxEventGap > route.Timeout {
		r.add(Contradiction, subject, fmt.Sprintf("its pause of %v between events is over its timeout of %v", route.MaxEventGap, route.Timeout), "shorten the pause")
	}
	if least := r.leastStageTime(route); least > route.LatencyObjective {
		r.add(Contradiction, subject, fmt.Sprintf("its stages take %v at least, its objective is %v", least, route.LatencyObjective), "raise the objective")
	}
	r.reviewRegions(subject, route)
}

// leastStageTime returns the time of the longest chain of a route's stages with one
// piece each.
func (r *reviewer) leastStageTime(route *Route) time.Duration {
	ends := make([]time.Duration, len(route.Stages))
	var last time.Duration
	for i, s := range route.Stages {
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		if service := r.table.Service(s.Service); service != nil && service.StageRunner != nil {
			ends[i] += service.StageRunner.Estimate(1)
		}
		last = max(last, ends[i])
	}
	return last
}

// reviewRegions finds workspaces whose requests a route can never process.
func (r *reviewer) reviewRegions(subject string, route *Route) {
	for i := range r.catalog.Workspaces {
		w := &r.catalog.Workspaces[i]
		if route.AllowedRegions.Intersect(w.AllowedRegions).IsEmpty() {
			r.add(NeverUsed, subject, fmt.Sprintf("it and workspace %q have no allowed region in common", w.Name), "allow one in both")
		}
	}
}

func (r *reviewer) reviewServices() {
	used := map[string]bool{}
	for i := range r.catalog.Routes {
		for _, t := range r.catalog.Routes[i].Targets {
			used[t.Service] = true
		}
		for _, s := range r.catalog.Routes[i].Stages {
			used[s.Service] = true
		}
	}
	for i := range r.catalog.Services {
		s := &r.catalog.Services[i]
		subject := fmt.Sprintf("service %q", s.Name)
		if !used[s.Name] {
			r.add(NeverUsed, subject, "no route leads to it", "add a route or remove it")
		}
		if s.WarmUp != nil && s.WarmUp.PerSecond <= 0 {
			r.add(Contradiction, subject, fmt.Sprintf("its runners bear nothing for %v after a start", s.WarmUp.Time), "set the rate that they bear")
		}
	}
}

func (r *reviewer) reviewWorkspaces() {
	for i := range r.catalog.Workspaces {
		w := &r.catalog.Workspaces[i]
		if len(w.Keys) == 0 {
			r.add(NeverUsed, fmt.Sprintf("workspace %q", w.Name), "it has no key", "issue one or remove it")
		}
		for _, k := range w.Keys {
			if strings.TrimSpace(k) != k || k == "" {
				r.add(NeverUsed, fmt.Sprintf("workspace %q", w.Name), "one of its keys is empty or begins or ends with a space, so that no request can carry it", "issue a new key")
			}
		}
	}
}
