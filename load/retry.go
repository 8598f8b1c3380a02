package load

import (
	"time"

	"damaskbridge.example/damaskbridge/problem"
)

// pollInterval is the time between two questions for a key that is still
// running, where the answer gives none.
const pollInterval = 50 * time.Millisecond

// decision says whether and when a request is tried again.
type decision struct {
	again bool
	wait  time.Duration
	// poll marks a repetition that is not counted as a retry.
	poll bool
}

// decide returns the decision after a result. Every kind of the mix may be
// repeated after a broken connection: the pipelines and lookups have no
// effect, and the bookings carry a key. After a not_run problem a request is
// repeated at once only where the remedy says so, and otherwise after the
// given time; without one it is not repeated. An unknown outcome is final.
func decide(r *request, last result) decision {
	switch last.verdict {
	case verdictNotSent:
		return decision{again: true}
	case verdictBroken:
		return decision{again: true}
	case verdictIncomplete:
		return decision{again: !r.profile.Kind.service()}
	case verdictRefused:
		return decideRefused(last.problem)
	case verdictProblem:
		if last.problem != nil && last.problem.Reason == problem.KeyInProgress && r.key != "" {
			return decision{again: true, poll: true, wait: hint(last.problem, pollInterval)}
		}
	}
	return decision{}
}

func decideRefused(p *problem.Problem) decision {
	switch p.Reason {
	case problem.SettingsStale, problem.Draining:
		return decision{again: true}
	}
	if p.RetryAfterMS > 0 {
		return decision{again: true, wait: hint(p, 0)}
	}
	return decision{}
}

func hint(p *problem.Problem, standard time.Duration) time.Duration {
	if p.RetryAfterMS > 0 {
		return time.Duration(p.RetryAfterMS) * time.Millisecond
	}
	return standard
}
