package problem

// State is the execution state of a request: whether any of it was executed.
type State string

// Execution states.
const (
	// NotRun means that no stage of the request was dispatched.
	NotRun State = "not_run"
	// Ran means that the request was executed.
	Ran State = "ran"
	// Unknown means that execution may have started and its outcome is unknown.
	Unknown State = "unknown"
)
