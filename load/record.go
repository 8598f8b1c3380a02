package load

import (
	"time"

	"damaskbridge.example/damaskbridge/problem"
)

// record is the course of one request.
type record struct {
	request *request
	outcome Outcome
	// lag is how late the first try was sent.
	lag time.Duration
	// latency counts from the scheduled time to the end.
	latency    time.Duration
	tries      []result
	inProgress int
	// repeated is set if the key was repeated at another entry VM and gave the
	// stored response.
	repeated bool
	// executions is how often the key executed, once that is known.
	executions int
	// checkedRefusals and falseRefusals count the not_run problems that were
	// checked, and those of them whose request ran.
	checkedRefusals int
	falseRefusals   int
	note            string
}

// deciding returns the try that decides the class: the last one that may have
// executed, else the last refusal, else the last try. A refusal of a repetition
// does not mean that the request did not run.
func (r *record) deciding() result {
	chosen := r.last()
	for i := len(r.tries) - 1; i >= 0; i-- {
		switch t := r.tries[i]; t.verdict {
		case verdictNotSent:
		case verdictRefused:
			if chosen.verdict == verdictNotSent {
				chosen = t
			}
		default:
			return t
		}
	}
	return chosen
}

func (r *record) last() result { return r.tries[len(r.tries)-1] }

// settle sets the class of the record from its last try, before anything is
// known from the upstreams' side.
func (r *record) settle(last result) {
	r.note = last.note
	switch last.verdict {
	case verdictRight:
		r.outcome = OK
		if r.latency > r.request.profile.Deadline {
			r.outcome = Late
		}
	case verdictWrong:
		r.outcome = Wrong
	case verdictIncomplete:
		r.outcome = Incomplete
	case verdictDuplicate:
		r.outcome = Duplicate
	case verdictRefused:
		r.outcome = RefusedUnchecked
	case verdictProblem:
		r.outcome = outcomeOf(last)
	case verdictBroken, verdictNotSent:
		r.outcome = Lost
	}
}

func (r *record) refused() bool {
	switch r.outcome {
	case RefusedUnchecked, RefusedTrue, RefusedFalse:
		return true
	default:
		return false
	}
}

// outcomeOf returns the class of a problem other than not_run.
func outcomeOf(last result) Outcome {
	if last.problem != nil && last.problem.Execution == problem.Unknown {
		return Unknown
	}
	return Failed
}
