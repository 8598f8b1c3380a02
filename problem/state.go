package problem

// State says whether anything of a request was executed.
type State string

const (
	// NotRun means that no stage was dispatched.
	NotRun State = "not_run"
	// Ran means that the request was executed.
	Ran State = "ran"
	// Unknown means that execution may have begun and its end is not known.
	Unknown State = "unknown"
)
