package retry

// Failure says how an attempt failed.
type Failure string

// Failures of an attempt. Each has a counter.
const (
	// Refused means that no connection was made, so nothing was sent.
	Refused Failure = "refused"
	// NotExecuted is a response that says that nothing was executed:
	// Damask-Not-Executed with 503 or 429.
	NotExecuted Failure = "not_executed"
	// Broken is a connection that ended before a complete response.
	Broken Failure = "broken"
	// Stalled is an attempt that can't come back, such as a stream or connection
	// without progress. A call that is merely slow is hedged and kept: repeating
	// it past saturation gives its place in the upstream's queue away.
	Stalled Failure = "stalled"
	// ServerError is a 5xx response without Damask-Not-Executed.
	ServerError Failure = "server_error"
	// Mismatch is a response that belongs to another attempt.
	Mismatch Failure = "mismatch"
	// NoCandidate means that routing found no upstream to send to. Trying again
	// at once would use up attempts and budget for nothing.
	NoCandidate Failure = "no_candidate"
	// Rejected is a 4xx response: the same call would fail again.
	Rejected Failure = "rejected"
)

// retryable says whether another upstream may do better.
func (f Failure) retryable() bool { return f != Rejected && f != NoCandidate }
