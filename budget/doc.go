// Package budget divides one deadline among the stages of a pipeline, based on
// the stages' recent latency distributions.
//
// Tracker takes the current time from its caller and starts no goroutines. It
// is not safe for concurrent use. Shared adds a mutex for concurrent requests.
//
// Example:
//
//	b := budget.NewShared(budget.DefaultOptions())
//	stages := []budget.Key{{Stage: "encoders"}, {Stage: "engines", Class: budget.SizeClass(maxTokens)}}
//	plan := b.Plan(stages, deadline.Sub(now), now)
//	if !plan.Feasible { ... }        // reject the request as not_run before any stage starts
//	admission.Request{RemainingTime: plan.Need, ...}
//	// At the start of each stage, with the remaining stages:
//	plan = b.Plan(stages[i:], deadline.Sub(now), now)
//	grant := plan.Grants[0]          // grant.HedgeAfter, grant.CancelAfter
//	b.Observe(stages[i], took, now)  // latency at the upstreams, without the wait at the gate
package budget
