package audit

import (
	"sort"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/problem"
)

// SessionState is the state of a session in the replicated state machine.
type SessionState struct {
	Session ids.SessionID `json:"session"`
	// Ended is true once the session was closed or has expired.
	Ended bool `json:"ended"`
	// Termination tells operators how the session ended.
	Termination string `json:"termination,omitempty"`
	// ReservedUpTo is the highest sequence number reserved for the session; the
	// lowest is 1.
	ReservedUpTo uint64 `json:"reserved_up_to"`
	// Drained is true if the session was closed after a drain; LastSeq is then
	// the last sequence number that the session used.
	Drained bool   `json:"drained"`
	LastSeq uint64 `json:"last_seq"`
}

// lastPossibleSeq returns the highest sequence number that may belong to a
// request.
func (s *SessionState) lastPossibleSeq() uint64 {
	if s.Drained {
		return min(s.LastSeq, s.ReservedUpTo)
	}
	return s.ReservedUpTo
}

// Verdict is the status of one request according to the audit log.
type Verdict string

// Verdicts.
const (
	VerdictEnded   Verdict = "ended"
	VerdictRunning Verdict = "running"
	// VerdictUnknown means that the session ended after the request's begin
	// record and no end record was stored.
	VerdictUnknown Verdict = "unknown"
	// VerdictNoRecord means that the sequence number was reserved but has no
	// record.
	VerdictNoRecord Verdict = "reserved, no record"
	// VerdictUnused means that the session drained without using the sequence
	// number.
	VerdictUnused Verdict = "reserved, never used"
	// VerdictNotReserved means that the sequence number was never reserved, so
	// no such request exists.
	VerdictNotReserved Verdict = "not reserved"
)

// AttemptSummary summarizes the records of one attempt of one stage.
type AttemptSummary struct {
	Stage          string  `json:"stage"`
	Attempt        uint32  `json:"attempt"`
	Upstream       string  `json:"upstream"`
	DispatchedAtMS int64   `json:"dispatched_at_unix_ms,omitempty"`
	EndedAtMS      int64   `json:"ended_at_unix_ms,omitempty"`
	Outcome        Outcome `json:"outcome"`
	Detail         string  `json:"detail,omitempty"`
}

// Summary describes one request: its attempts and their upstreams, and how it
// ended, if that is known.
type Summary struct {
	Request  ids.RequestID    `json:"request"`
	Verdict  Verdict          `json:"verdict"`
	Begin    *Record          `json:"begin,omitempty"`
	Attempts []AttemptSummary `json:"attempts,omitempty"`
	Outcome  Outcome          `json:"outcome"`
	// Execution is not_run only if the records prove it.
	Execution   problem.ExecutionState `json:"execution_state"`
	End         *Record                `json:"end,omitempty"`
	Termination string                 `json:"termination,omitempty"`
	// Contradictions lists inconsistencies between the records.
	Contradictions []string `json:"contradictions,omitempty"`
}

// Summarize summarizes one request from the state of its session and its
// records, which must be ordered as Merge orders them.
func Summarize(id ids.RequestID, entries []Entry, s SessionState) Summary {
	sum := Summary{Request: id, Outcome: Unknown, Execution: problem.Unknown}
	for i := range entries {
		if r := &entries[i].Record; r.Request == id {
			sum.addRecord(r)
		}
	}
	sum.setVerdict(s)
	return sum
}

// addRecord adds one record to the summary.
func (sum *Summary) addRecord(r *Record) {
	switch r.Kind {
	case Begin:
		if sum.Begin != nil {
			sum.addContradiction("two begin records")
			return
		}
		sum.Begin = r
	case Dispatch:
		sum.addDispatch(r)
	case StageEnd:
		sum.addStageEnd(r)
	case End:
		if sum.End != nil {
			sum.addContradiction("two end records")
			return
		}
		sum.End = r
	}
}

func (sum *Summary) addContradiction(what string) {
	sum.Contradictions = append(sum.Contradictions, what)
}

func (sum *Summary) findAttempt(r *Record) *AttemptSummary {
	for i := range sum.Attempts {
		a := &sum.Attempts[i]
		if a.Stage == r.Stage && a.Attempt == r.Attempt {
			return a
		}
	}
	return nil
}

func (sum *Summary) addDispatch(r *Record) {
	if sum.findAttempt(r) != nil {
		sum.addContradiction("stage " + r.Stage + " has two dispatch records for one attempt")
		return
	}
	if sum.End != nil {
		sum.addContradiction("stage " + r.Stage + " was dispatched after the end")
	}
	sum.Attempts = append(sum.Attempts, AttemptSummary{
		Stage: r.Stage, Attempt: r.Attempt, Upstream: r.Upstream,
		DispatchedAtMS: r.AtUnixMS, Outcome: Unknown,
	})
}

func (sum *Summary) addStageEnd(r *Record) {
	a := sum.findAttempt(r)
	switch {
	case a == nil:
		sum.addContradiction("stage " + r.Stage + " ended without a dispatch record")
		sum.Attempts = append(sum.Attempts, AttemptSummary{Stage: r.Stage, Attempt: r.Attempt, Upstream: r.Upstream})
		a = &sum.Attempts[len(sum.Attempts)-1]
	case a.EndedAtMS != 0:
		sum.addContradiction("stage " + r.Stage + " has two ends for one attempt")
		return
	}
	a.Outcome, a.Detail, a.EndedAtMS = r.Outcome, r.Detail, r.AtUnixMS
}

// setVerdict sets the verdict, the outcome and the execution state from the
// added records and the state of the session.
func (sum *Summary) setVerdict(s SessionState) {
	if s.Ended {
		sum.Termination = s.Termination
	}
	switch {
	case sum.End != nil:
		sum.Verdict = VerdictEnded
		sum.Outcome = sum.End.Outcome
		sum.Execution = sum.executionState()
		if sum.Begin == nil {
			sum.addContradiction("an end without a begin record")
		}
	case sum.Begin != nil || len(sum.Attempts) > 0:
		sum.Verdict = VerdictRunning
		if s.Ended {
			sum.Verdict = VerdictUnknown
		}
	default:
		sum.Verdict = s.verdictWithoutRecord(sum.Request.Seq)
		if sum.Verdict == VerdictNotReserved || sum.Verdict == VerdictUnused {
			sum.Execution = problem.NotRun
		}
	}
}

// executionState returns the execution state of the end record. If it is
// not_run although an attempt may have run, executionState reports a
// contradiction and returns problem.Unknown.
func (sum *Summary) executionState() problem.ExecutionState {
	if sum.End.Execution != problem.NotRun {
		return sum.End.Execution
	}
	for _, a := range sum.Attempts {
		if a.Outcome != NotSent && a.Outcome != Rejected {
			sum.addContradiction("the end says not_run and stage " + a.Stage + " may have run")
			return problem.Unknown
		}
	}
	return problem.NotRun
}

func (s *SessionState) verdictWithoutRecord(seq uint64) Verdict {
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

// SeqRange is an inclusive range of sequence numbers.
type SeqRange struct {
	Low  uint64 `json:"low"`
	High uint64 `json:"high"`
}

// UnaccountedReport lists the requests and sequence numbers of an ended session
// for which records are missing.
type UnaccountedReport struct {
	Session     ids.SessionID `json:"session"`
	Termination string        `json:"termination"`
	// WithoutEnd lists the requests that have records but no end record.
	WithoutEnd []ids.RequestID `json:"without_end"`
	// WithoutRecord lists the reserved sequence numbers without any record.
	WithoutRecord []SeqRange `json:"without_record"`
}

// Unaccounted reports what is missing from the records of an ended session;
// entries must hold all of them. The report of a session that has not ended is
// empty.
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
			report.addRange(next, seq-1)
		}
		next = max(next, seq+1)
	}
	report.addRange(next, s.lastPossibleSeq())
	return report
}

func (r *UnaccountedReport) addRange(low, high uint64) {
	if low <= high {
		r.WithoutRecord = append(r.WithoutRecord, SeqRange{Low: low, High: high})
	}
}
