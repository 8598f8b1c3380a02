package problem

// ExecutionState tells whether any part of a request was executed.
type ExecutionState string

// Execution states.
const (
	// NotRun means that no stage of the request was dispatched.
	NotRun ExecutionState = "not_run"
	// Executed means that the request was executed.
	Executed ExecutionState = "ran"
	// Unknown means that execution may have started and its outcome is unknown.
	Unknown ExecutionState = "unknown"
)
