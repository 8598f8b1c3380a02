// Package budget divides one deadline over the stages of a pipeline, from the
// stages' recent latency distributions.
//
// Tracker is pure: time is passed in and it starts nothing. It is not safe for
// concurrent use. Shared wraps it with a mutex for traffic goroutines.
//
// Example:
//
//	b := budget.NewShared(budget.DefaultOptions())
//	stages := []budget.Key{{Stage: "encoders"}, {Stage: "engines", Class: budget.SizeClass(maxTokens)}}
//	plan := b.Plan(stages, deadline.Sub(now), now)
//	if !plan.Feasible { ... }        // reject with not_run before anything runs
//	admission.Request{Need: plan.Need, ...}
//	// At the start of each stage, with the stages that are left:
//	plan = b.Plan(stages[i:], deadline.Sub(now), now)
//	grant := plan.Grants[0]          // grant.HedgeAfter, grant.CancelAfter
//	b.Observe(stages[i], took, now)  // at the upstreams, without the gate's wait
package budget
