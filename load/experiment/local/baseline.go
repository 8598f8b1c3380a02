package local

import (
	"fmt"
	"sort"
	"strings"

	"damaskbridge.example/damaskbridge/entry"
)

// Full is the baseline with the whole policy.
const Full = "full"

// baselines returns the policy of the entry VMs by name.
var baselines = map[string]entry.Policy{
	Full:                {},
	"no_hedge":          {NoHedge: true},
	"no_admission":      {NoAdmission: true},
	"random":            {RoutingBaseline: "random"},
	"round_robin":       {RoutingBaseline: "round_robin"},
	"least_outstanding": {RoutingBaseline: "least_outstanding"},
	"bare":              {RoutingBaseline: "random", NoHedge: true, NoAdmission: true},
}

// policy returns a baseline's policy.
func policy(name string) (entry.Policy, error) {
	p, ok := baselines[name]
	if !ok {
		return entry.Policy{}, fmt.Errorf("baseline %q is not known; use one of %s", name, strings.Join(Baselines(), ", "))
	}
	return p, nil
}

// Baselines returns the names of all baselines.
func Baselines() []string {
	names := make([]string, 0, len(baselines))
	for name := range baselines {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
