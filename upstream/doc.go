// Package upstream calls the systems behind damaskbridge: model engines, stage
// pools, plain services and the platform's membership list.
//
// Each call is one attempt. Its error says whether execution may have begun,
// which decides whether the attempt may be repeated. Liveness is judged for
// each connection by its progress, never for the upstream as a whole.
package upstream
