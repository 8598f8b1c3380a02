// Package upstream calls the systems behind damaskbridge: model engines, stage
// pools, plain services and the platform's membership list.
//
// Each call is one attempt. Its error tells whether execution may have begun,
// which decides whether the call may be retried. A connection without progress is
// given up by itself; it does not mark the upstream as failed.
package upstream
