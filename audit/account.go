package audit

import (
	"sort"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/problem"
)

// SessionState is what the replicated state knows about a session.
type SessionState struct {
	Session ids.SessionID `json:"session"`
	// Ended is true once the session was closed or has expired.
	Ended bool `json:"ended"`
	// Termination says how the session ended, for operators.
	Termination string `json:"termination,omitempty"`
	// ReservedUpTo is the last sequence number that the session may have used;
	// the first is 1.
	ReservedUpTo uint64 `json:"reserved_up_to"`
	// Drained is true if the session was closed after a drain; LastSeq is then
	// the last sequence number that it did use.
	Drained bool   `json:"drained"`
	LastSeq uint64 `json:"last_seq"`
}

// lastPossible is the last sequence number that may belong to a request.
func (s *SessionState) lastPossible() uint64 {
	if s.Drained {
		return min(s.LastSeq, s.ReservedUpTo)
	}
	return s.ReservedUpTo
}

// Verdict is the standing of one request in the audit log.
type Verdict string

// Verdicts.
const (
	VerdictEnded   Verdict = "ended"
	VerdictRunning Verdict = "running"
	// VerdictUnknown means that the session ended after the request's begin
	// and no end was recorded.
	VerdictUnknown Verdict = "unknown"
	// VerdictNoRecord means that the number was reserved and no record is
	// known.
	VerdictNoRecord Verdict = "reserved, no record"
	// VerdictUnused means that the session drained without using the number.
	VerdictUnused Verdict = "reserved, never used"
	// VerdictNotReserved means that no such request can exist.
	VerdictNotReserved Verdict = "not reserved"
)

// AttemptAccount is what is known about one attempt of one stage.
type AttemptAccount struct {
	Stage          string  `json:"stage"`
	Attempt        uint32  `json:"attempt"`
	Upstream       string  `json:"upstream"`
	DispatchedAtMS int64   `json:"dispatched_at_unix_ms,omitempty"`
	EndedAtMS      int64   `json:"ended_at_unix_ms,omitempty"`
	Outcome        Outcome `json:"outcome"`
	Detail         string  `json:"detail,omitempty"`
}

// Summary is the truthful account of one request: what was dispatched where,
// how it ended, or that this is not known.
type Summary struct {
	Request  ids.RequestID    `json:"request"`
	Verdict  Verdict          `json:"verdict"`
	Begin    *Record          `json:"begin,omitempty"`
	Attempts []AttemptAccount `json:"attempts,omitempty"`
	Outcome  Outcome          `json:"outcome"`
	// Execution is not_run only if the records prove it.
	Execution   problem.State `json:"execution_state"`
	End         *Record       `json:"end,omitempty"`
	Termination string        `json:"termination,omitempty"`
	// Contradictions lists records that do not fit together.
	Contradictions []string `json:"contradictions,omitempty"`
}

// Account summarizes one request from its records, in the order of Merge, and
// the state of its session.
func Account(id ids.RequestID, entries []Entry, s SessionState) Summary {
	sum := Summary{Request: id, Outcome: Unknown, Execution: problem.Unknown}
	for i := range entries {
		if r := &entries[i].Record; r.Request == id {
			sum.take(r)
		}
	}
	sum.judge(s)
	return sum
}

// take adds one record.
func (sum *Summary) take(r *Record) {
	switch r.Kind {
	case Begin:
		if sum.Begin != nil {
			sum.contradict("two begin records")
			return
		}
		sum.Begin = r
	case Dispatch:
		sum.dispatch(r)
	case StageEnd:
		sum.stageEnd(r)
	case End:
		if sum.End != nil {
			sum.contradict("two end records")
			return
		}
		sum.End = r
	}
}

func (sum *Summary) contradict(what string) {
	sum.Contradictions = append(sum.Contradictions, what)
}

func (sum *Summary) attempt(r *Record) *AttemptAccount {
	for i := range sum.Attempts {
		a := &sum.Attempts[i]
		if a.Stage == r.Stage && a.Attempt == r.Attempt {
			return a
		}
	}
	return nil
}

func (sum *Summary) dispatch(r *Record) {
	if sum.attempt(r) != nil {
		sum.contradict("stage " + r.Stage + " has two dispatch records for one attempt")
		return
	}
	if sum.End != nil {
		sum.contradict("stage " + r.Stage + " was dispatched after the end")
	}
	sum.Attempts = append(sum.Attempts, AttemptAccount{
		Stage: r.Stage, Attempt: r.Attempt, Upstream: r.Upstream,
		DispatchedAtMS: r.AtUnixMS, Outcome: Unknown,
	})
}

func (sum *Summary) stageEnd(r *Record) {
	a := sum.attempt(r)
	switch {
	case a == nil:
		sum.contradict("stage " + r.Stage + " ended without a dispatch record")
		sum.Attempts = append(sum.Attempts, AttemptAccount{Stage: r.Stage, Attempt: r.Attempt, Upstream: r.Upstream})
		a = &sum.Attempts[len(sum.Attempts)-1]
	case a.EndedAtMS != 0:
		sum.contradict("stage " + r.Stage + " has two ends for one attempt")
		return
	}
	a.Outcome, a.Detail, a.EndedAtMS = r.Outcome, r.Detail, r.AtUnixMS
}

// judge sets the verdict and the execution state.
func (sum *Summary) judge(s SessionState) {
	if s.Ended {
		sum.Termination = s.Termination
	}
	switch {
	case sum.End != nil:
		sum.Verdict = VerdictEnded
		sum.Outcome = sum.End.Outcome
		sum.Execution = sum.endState()
		if sum.Begin == nil {
			sum.contradict("an end without a begin record")
		}
	case sum.Begin != nil || len(sum.Attempts) > 0:
		sum.Verdict = VerdictRunning
		if s.Ended {
			sum.Verdict = VerdictUnknown
		}
	default:
		sum.Verdict = s.withoutRecord(sum.Request.Seq)
		if sum.Verdict == VerdictNotReserved || sum.Verdict == VerdictUnused {
			sum.Execution = problem.NotRun
		}
	}
}

// endState is the execution state of the end record, unless an attempt may
// have run although the end says that nothing did.
func (sum *Summary) endState() problem.State {
	if sum.End.Execution != problem.NotRun {
		return sum.End.Execution
	}
	for _, a := range sum.Attempts {
		if a.Outcome != NotSent && a.Outcome != Rejected {
			sum.contradict("the end says not_run and stage " + a.Stage + " may have run")
			return problem.Unknown
		}
	}
	return problem.NotRun
}

func (s *SessionState) withoutRecord(seq uint64) Verdict {
	switch {
	case seq == 0 || seq > s.ReservedUpTo:
		return VerdictNotReserved
	case s.Drained && seq > s.LastSeq:
		return VerdictUnused
	case !s.Ended:
		return VerdictRunning
	default:
		return VerdictNoRecord
	}
}

// SeqRange is a range of sequence numbers, both ends included.
type SeqRange struct {
	Low  uint64 `json:"low"`
	High uint64 `json:"high"`
}

// UnaccountedReport lists what an ended session leaves open.
type UnaccountedReport struct {
	Session     ids.SessionID `json:"session"`
	Termination string        `json:"termination"`
	// WithoutEnd are the requests with a begin and no end.
	WithoutEnd []ids.RequestID `json:"without_end"`
	// WithoutRecord are the reserved numbers without any record.
	WithoutRecord []SeqRange `json:"without_record"`
}

// Unaccounted finds the open ends of an ended session in all of its records.
// A session that has not ended has none yet.
func Unaccounted(entries []Entry, s SessionState) UnaccountedReport {
	report := UnaccountedReport{Session: s.Session, Termination: s.Termination}
	if !s.Ended {
		return report
	}
	ended := make(map[uint64]bool)
	for i := range entries {
		r := &entries[i].Record
		if r.Request.Session == s.Session {
			ended[r.Request.Seq] = ended[r.Request.Seq] || r.Kind == End
		}
	}
	known := make([]uint64, 0, len(ended))
	for seq := range ended {
		known = append(known, seq)
	}
	sort.Slice(known, func(i, j int) bool { return known[i] < known[j] })
	next := uint64(1)
	for _, seq := range known {
		if !ended[seq] {
			report.WithoutEnd = append(report.WithoutEnd, ids.RequestID{Session: s.Session, Seq: seq})
		}
		if seq > next {
			report.addGap(next, seq-1)
		}
		next = max(next, seq+1)
	}
	report.addGap(next, s.lastPossible())
	return report
}

func (r *UnaccountedReport) addGap(low, high uint64) {
	if low <= high {
		r.WithoutRecord = append(r.WithoutRecord, SeqRange{Low: low, High: high})
	}
}
