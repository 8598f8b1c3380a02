package quarantine

import "time"

const (
	// evidenceWindow is how long a crash counts against a part, and an answer for
	// it.
	evidenceWindow = time.Minute
	// maxAnswered bounds the parts of which one VM remembers an answer. The longest
	// prompts have some thousands of parts.
	maxAnswered = 32768
)

// answerTimes remembers when parts were last answered. If there are too many it
// forgets the older half. It is not safe for concurrent use.
type answerTimes struct {
	// newer holds the latest answers, older those before them.
	newer, older map[Part]time.Time
}

func newAnswerTimes() answerTimes { return answerTimes{newer: map[Part]time.Time{}} }

// record records an answer at a time, which may be before that of the latest one.
func (a *answerTimes) record(at time.Time, p Part) {
	if a.newer[p].After(at) {
		return
	}
	if len(a.newer) >= maxAnswered/2 {
		a.newer, a.older = map[Part]time.Time{}, a.newer
	}
	a.newer[p] = at
}

// has reports whether the part was answered within the window.
func (a *answerTimes) has(now time.Time, p Part) bool {
	at, ok := a.newer[p]
	if !ok {
		at, ok = a.older[p]
	}
	return ok && now.Sub(at) <= evidenceWindow
}
