package upstream

// HTTP headers of calls to upstreams.
const (
	HeaderAttempt      = "Damask-Attempt"
	HeaderLoad         = "Damask-Load"
	HeaderDraining     = "Damask-Draining"
	HeaderNotExecuted  = "Damask-Not-Executed"
	HeaderPriority     = "Damask-Priority"
	HeaderResumeTokens = "Damask-Resume-Tokens"
	// HeaderKey carries the idempotency key to a plain service. It is not named
	// Idempotency-Key, because net/http silently repeats a request with that
	// header when a reused connection breaks.
	HeaderKey = "Damask-Key"
)
