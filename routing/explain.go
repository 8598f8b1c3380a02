package routing

import (
	"fmt"
	"strings"
	"time"

	"damaskbridge.example/damaskbridge/membership"
)

// Cost is the cost that one scorer assigns to a candidate.
type Cost struct {
	Scorer string  `json:"scorer"`
	MS     float64 `json:"ms"`
}

// Explanation describes why a candidate was dropped, or its costs.
type Explanation struct {
	Address string           `json:"address"`
	State   membership.State `json:"state"`
	// Dropped is the name of the filter that dropped it; empty if it was scored.
	Dropped string  `json:"dropped,omitempty"`
	Probe   bool    `json:"probe,omitempty"`
	Costs   []Cost  `json:"costs,omitempty"`
	TotalMS float64 `json:"total_ms,omitempty"`
	// Load is the corrected load in requests, and Credibility the weight of the
	// upstream's load reports, from 0 to 1.
	Load        float64 `json:"load"`
	Credibility float64 `json:"credibility"`
}

// String returns a single line for logs.
func (e Explanation) String() string {
	if e.Dropped != "" {
		return fmt.Sprintf("%s: dropped by %s", e.Address, e.Dropped)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %.1f ms", e.Address, e.TotalMS)
	for _, c := range e.Costs {
		fmt.Fprintf(&b, ", %s %.1f", c.Scorer, c.MS)
	}
	return b.String()
}

// Explain returns an explanation for every upstream of the pool without choosing
// one. To explain a choice, call it immediately before Choose.
func (r *Router) Explain(source Source, req Request, now time.Time) []Explanation {
	r.syncPool(source, req.Pool, now)
	upstreams := source.Pool(req.Pool)
	all := make([]Explanation, 0, len(upstreams))
	for _, u := range upstreams {
		all = append(all, r.explain(u, &req, now))
	}
	return all
}

func (r *Router) explain(u *membership.Upstream, req *Request, now time.Time) Explanation {
	c := Candidate{Upstream: u, stats: r.statsOf(u)}
	e := Explanation{
		Address:     u.Address,
		State:       u.State(now),
		Dropped:     r.droppedBy(req, &c, now),
		Probe:       c.Probe,
		Load:        c.stats.correctedLoad(now),
		Credibility: c.stats.credibility,
	}
	if e.Dropped != "" {
		return e
	}
	for _, s := range r.scorers {
		ms := s.CostMS(req, &c, now)
		e.Costs = append(e.Costs, Cost{Scorer: s.Name(), MS: ms})
		e.TotalMS += ms
	}
	return e
}
