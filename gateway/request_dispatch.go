package gateway

import (
	"time"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/placement"
)

// newDispatch returns the request as it is sent to a runner.
func (r *request) newDispatch(runner *placement.RunnerState, now time.Time) *Dispatch {
	d := &Dispatch{
		Call: r.call, RunnerID: runner.ID, Addr: runner.Addr,
		TimeLeft:      r.deadline.Sub(now),
		ResumeAfter:   r.call.ResumeAfter,
		MaxIdleConns:  r.g.maxIdleConns(r.service),
		NewConnection: r.route.RetryPolicy == catalog.RetryNever && !r.route.Streaming,
	}
	if r.workspace != nil {
		d.Workspace = r.workspace.Name
	}
	if r.service.Engine != nil {
		d.HasPriority = true
		d.Priority = r.priority()
		d.CacheAddr = r.cacheAddr
	}
	if r.stages != nil {
		d.HasInputs = true
		d.Inputs = r.stages.inputs()
	}
	return d
}

// priority returns the priority of the request. That of the workspace takes
// precedence over that of the route.
func (r *request) priority() int {
	if r.workspace != nil && r.workspace.HasPriority {
		return r.workspace.Priority
	}
	return r.route.Priority
}

// Each priority level delays a request's stages by a fixed time in the queues.
// Urgent requests overtake others only within that time, because a strict order
// would starve the lowest priority.
const (
	yieldPerPriority = 600 * time.Millisecond
	// yieldPerRoutePriority orders the routes within one workspace.
	yieldPerRoutePriority = 200 * time.Millisecond
)

// stageYield returns how long the request's stages yield to others that are
// due.
func (r *request) stageYield() time.Duration {
	if r.workspace != nil && r.workspace.HasPriority {
		return time.Duration(r.workspace.Priority)*yieldPerPriority + time.Duration(r.route.Priority)*yieldPerRoutePriority
	}
	return time.Duration(r.route.Priority) * yieldPerPriority
}
