package upstream

// Headers of the calls to upstreams.
const (
	HeaderAttempt     = "Damask-Attempt"
	HeaderLoad        = "Damask-Load"
	HeaderDraining    = "Damask-Draining"
	HeaderNotExecuted = "Damask-Not-Executed"
	HeaderPriority    = "Damask-Priority"
	HeaderResume      = "Damask-Resume-Tokens"
	// HeaderKey carries the idempotency key to a plain service. It is not
	// named Idempotency-Key because net/http silently sends a request with
	// that header again when a reused connection breaks.
	HeaderKey = "Damask-Key"
)
