// Package execution concludes from what was seen of one attempt at one upstream
// whether that upstream may have executed the request. It is pure.
package execution

import "net/http"

// Rule is the rule by which an attempt counts as executed or not. Each has a counter.
type Rule string

// Rules. By the first group the request has not been executed at the upstream and
// never will be. The others leave that open.
const (
	// NotWritten: no byte of the request was written.
	NotWritten Rule = "not_written"
	// Refused: the upstream has declared that it has not executed the request.
	Refused Rule = "refused"
	// Misdirected: another process has the address.
	Misdirected Rule = "misdirected"

	// Unanswered: the request was written and no whole head of a response came back.
	Unanswered Rule = "unanswered"
	// Answered: a response came back that refuses nothing.
	Answered Rule = "answered"
	// Contradicted: a response came back that refuses the request and shows at the
	// same time that it may have been executed.
	Contradicted Rule = "contradicted"
	// Unproved: a response came back that proves nothing.
	Unproved Rule = "unproved"
	// Damaged: a response came back whose body did not come whole.
	Damaged Rule = "damaged"
)

// NotExecuted reports whether the request has certainly not been executed.
func (r Rule) NotExecuted() bool {
	return r == NotWritten || r == Refused || r == Misdirected
}

// Declaration is what a response says itself about the execution.
type Declaration int

const (
	// Undeclared: the response says nothing.
	Undeclared Declaration = iota
	// DeclaredNotExecuted: the request has not been executed and never will be.
	DeclaredNotExecuted
	// DeclaredUnclear: something that is neither.
	DeclaredUnclear
)

// Response is what the head of a response says.
type Response struct {
	Status      int
	Declaration Declaration
	// Signed is true if the response bears the signature of an execution.
	Signed bool
	// NamesRequest is true if the response names the request that was sent.
	NamesRequest bool
	// NamesOther is true if the response names another process than the one that
	// was meant, and NamesMeant if it names that one.
	NamesOther bool
	NamesMeant bool
}

// Conclude returns the rule for an attempt that got a response. A response refuses
// the request only if nothing in it says otherwise: in doubt the request may have
// been executed.
func Conclude(r Response) Rule {
	switch {
	case r.Status == http.StatusMisdirectedRequest:
		return concludeMisdirected(r)
	case r.Declaration == Undeclared:
		return Answered
	case r.Declaration == DeclaredNotExecuted && isRefusal(r.Status) && !r.Signed:
		return Refused
	}
	return Contradicted
}

// concludeMisdirected returns the rule for a response with the status 421. It needs
// no declaration, but something in it has to tie it to the request or to another
// process at the address.
func concludeMisdirected(r Response) Rule {
	switch {
	case r.Signed || r.NamesMeant || r.Declaration == DeclaredUnclear:
		return Contradicted
	case r.NamesRequest || r.NamesOther || r.Declaration == DeclaredNotExecuted:
		return Misdirected
	}
	return Answered
}

// isRefusal reports whether a status fits the declaration that a request has not
// been executed. It is that of a bad request, of missing inputs, or of an upstream
// that has no room or leaves.
func isRefusal(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// ConcludeError returns the rule for an attempt without a whole head of a response.
// written reports whether a byte of the request may have been written.
func ConcludeError(written bool) Rule {
	if written {
		return Unanswered
	}
	return NotWritten
}
