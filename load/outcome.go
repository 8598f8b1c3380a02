package load

// Outcome is the class of a request's end.
type Outcome string

// Classes of outcomes. A request has exactly one.
const (
	// OK is a correct and complete response within the deadline, executed
	// once.
	OK Outcome = "ok"
	// Late is a correct response after the deadline.
	Late Outcome = "late"
	// Wrong is a response whose content is not the one of the request.
	Wrong Outcome = "wrong"
	// Incomplete is a response that ended before its end.
	Incomplete Outcome = "incomplete"
	// RefusedTrue is a not_run problem of a request that indeed did not run.
	RefusedTrue Outcome = "refused_true"
	// RefusedFalse is a not_run problem of a request that ran.
	RefusedFalse Outcome = "refused_false"
	// RefusedUnchecked is a not_run problem that could not be checked.
	RefusedUnchecked Outcome = "refused_unchecked"
	// Failed is a problem that says that the request ran.
	Failed Outcome = "failed"
	// Unknown is a problem that says that the outcome is unknown.
	Unknown Outcome = "unknown"
	// Lost is a request without a response, or a booking that was confirmed
	// and never executed.
	Lost Outcome = "lost"
	// Duplicate is a key that executed more than once.
	Duplicate Outcome = "duplicate"
)

// Outcomes returns all classes in the order of reports.
func Outcomes() []Outcome {
	return []Outcome{OK, Late, Wrong, Incomplete, RefusedTrue, RefusedFalse, RefusedUnchecked, Failed, Unknown, Lost, Duplicate}
}
