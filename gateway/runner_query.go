package gateway

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/placement"
	"damaskbridge.example/damaskbridge/residency"
)

// runnerQuery says what a runner is wanted for.
type runnerQuery struct {
	service *catalog.Service
	prompt  *placement.Prompt
	// tried are the runners that are not wanted again.
	tried []*placement.RunnerState
	// allowed are the regions in which the request may be processed.
	allowed residency.Regions
}

// eligible reports whether a runner is in one of the allowed regions and in a data
// centre that is not evacuated. r.mu is held.
func (r *runnerSet) eligible(l *listedRunner, allowed residency.Regions) bool {
	return r.zoneEligible(l.Zone, allowed)
}

// zoneEligible reports whether a data centre is in one of the allowed regions and not
// evacuated.
func (r *runnerSet) zoneEligible(zone string, allowed residency.Regions) bool {
	return allowed.Allows(r.topology.Regions[zone]) && !r.evacuations.Load().IsEvacuated(zone)
}

// isEvacuatedAt reports whether the listed runner at an address is in an evacuated
// data centre.
func (r *runnerSet) isEvacuatedAt(addr string) bool {
	evacuations := r.evacuations.Load()
	if len(evacuations.Evacuated()) == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, list := range r.byService {
		for i := range list {
			if list[i].Addr == addr {
				return evacuations.IsEvacuated(list[i].Zone)
			}
		}
	}
	return false
}

// hasEligible reports whether a runner of a service that does not leave may get
// requests that may be processed in the allowed regions.
func (r *runnerSet) hasEligible(service string, allowed residency.Regions) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.byService[service] {
		l := &r.byService[service][i]
		if !l.Draining && r.eligible(l, allowed) {
			return true
		}
	}
	return false
}

// isListedIn reports whether a runner of a service is listed in one of the zones and
// in the allowed regions.
func (r *runnerSet) isListedIn(service string, allowed residency.Regions, zones []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.byService[service], func(l listedRunner) bool {
		return slices.Contains(zones, l.Zone) && allowed.Allows(r.topology.Regions[l.Zone])
	})
}

// query returns what a runner is wanted for that was not tried yet.
func (r *request) query(tried []*placement.RunnerState) *runnerQuery {
	return &runnerQuery{service: r.service, prompt: &r.call.Prompt, tried: tried, allowed: r.allowedRegions()}
}

// allowedRegions returns the regions in which the request may be processed. They
// are those under which it was admitted, since results of its stages may lie
// there, and those of the catalog in force.
func (r *request) allowedRegions() residency.Regions {
	allowed := regionsOf(r.route, r.workspace)
	now := r.g.Table()
	if now == nil || now == r.table {
		return allowed
	}
	if route := now.Route(r.call.Host, r.call.Path); route != nil {
		allowed = allowed.Intersect(regionsOf(route, now.WorkspaceOf(r.call.Key)))
	}
	return allowed
}

// regionsOf returns the regions that a route and a workspace, which may be nil,
// allow together.
func regionsOf(route *catalog.Route, workspace *catalog.Workspace) residency.Regions {
	if workspace == nil {
		return route.AllowedRegions
	}
	return route.AllowedRegions.Intersect(workspace.AllowedRegions)
}

// refuseUnplaceable refuses a request for which no runner is listed where it may be
// processed. It would otherwise run its stages in vain.
func (r *request) refuseUnplaceable() *Refusal {
	allowed := r.allowedRegions()
	evacuated := r.g.state.Load().Evacuations.Evacuated()
	if !allowed.Restricted() && len(evacuated) == 0 {
		return nil
	}
	services := []string{r.service.Name}
	for _, s := range r.route.Stages {
		services = append(services, s.Service)
	}
	for _, s := range services {
		if r.g.runners.hasEligible(s, allowed) {
			continue
		}
		if r.g.runners.isListedIn(s, allowed, evacuated) {
			return &Refusal{Reason: ZoneEvacuated, RetryAfter: placementRetryDelay(), Detail: s + " in " + strings.Join(evacuated, ",")}
		}
		if allowed.Restricted() {
			return &Refusal{Reason: RegionNotAllowed, RetryAfter: placementRetryDelay(), Detail: s + " in " + strings.Join(allowed.List(), ",")}
		}
	}
	return nil
}

// placementRetryDelay returns a randomized delay for callers whose request can run
// once a list has shown other runners.
func placementRetryDelay() time.Duration {
	return minPlacementRetry + rand.N(placementRetryJitter)
}

const (
	minPlacementRetry = time.Second
	// placementRetryJitter spreads the callers that were refused together. A list
	// of runners is read about every second.
	placementRetryJitter = 1500 * time.Millisecond
)
