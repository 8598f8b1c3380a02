package quarantine

import "time"

// Exchange names what an observation of a runner was made with: one request on one
// connection.
type Exchange struct {
	// Runner names the runner, whichever process of it runs. Process names the
	// process that the list of runners showed; each start that the list has shown has
	// another name. The list lags: the runner may have started again since.
	Runner, Process string
	// ConnectedAt is when the opening of the connection began. The process at the
	// other end is one that ran after that.
	ConnectedAt time.Time
	// SentAt is when the sending of the request began.
	SentAt time.Time
}

// lostProcess is a process of a runner with which requests were lost, with the parts
// of these requests.
type lostProcess struct {
	runner string
	// process names the process; it is provisional until settled.
	process string
	// settled is true once the list has shown another process of the runner, or none.
	settled bool
	// firstAt and at are when the first and the newest of the requests were lost.
	firstAt, at time.Time
	parts       map[Part]bool
	// answeredAt is when the runner first answered after at on a connection that was
	// opened after firstAt, zero if it has not. Then either its process goes on, and
	// only connections have broken, or a new one runs.
	answeredAt time.Time
}

// add adds parts, up to maxLostParts. Any of them may be the one that ends runners.
func (l *lostProcess) add(parts []Part) {
	for _, p := range parts {
		if len(l.parts) == maxLostParts {
			return
		}
		l.parts[p] = true
	}
}

// isDoubtful reports whether nobody knows yet if the loss was a crash: the runner has
// answered since, and the list may still decide.
func (l *lostProcess) isDoubtful(now time.Time, maxDoubt time.Duration) bool {
	return !l.settled && !l.answeredAt.IsZero() && now.Sub(l.answeredAt) < maxDoubt
}
