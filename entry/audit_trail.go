package entry

import (
	"context"
	"time"

	"damaskbridge.example/damaskbridge/audit"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/problem"
)

// Recorder writes audit records. audit.Writer implements it.
type Recorder interface {
	// Begin writes the record and returns when it is durable on a control VM.
	Begin(ctx context.Context, r audit.Record) error
	// Append queues the record and returns without waiting.
	Append(r audit.Record) error
	// Flush returns when all queued records are durable.
	Flush(ctx context.Context) error
}

// auditTrail writes the audit records of one request.
type auditTrail struct {
	recorder Recorder
	request  ids.RequestID
	// onLost is called for each record that could not be queued.
	onLost func()
}

func (a *auditTrail) newRecord(k audit.Kind) audit.Record {
	return audit.Record{Kind: k, Request: a.request, AtUnixMS: time.Now().UnixMilli()}
}

func (a *auditTrail) append(r audit.Record) {
	if err := a.recorder.Append(r); err != nil {
		a.onLost()
	}
}

// recordDispatch records an attempt. It must be called before the attempt's
// first byte is written.
func (a *auditTrail) recordDispatch(stage string, attempt int, addr string) {
	r := a.newRecord(audit.Dispatch)
	r.Stage = stage
	r.Attempt = uint32(attempt)
	r.Upstream = addr
	a.append(r)
}

// recordStageEnd records the outcome of an attempt.
func (a *auditTrail) recordStageEnd(stage string, attempt int, addr string, o audit.Outcome, detail string) {
	r := a.newRecord(audit.StageEnd)
	r.Stage = stage
	r.Attempt = uint32(attempt)
	r.Upstream = addr
	r.Outcome = o
	r.Detail = detail
	a.append(r)
}

// recordEnd records the outcome of the request.
func (a *auditTrail) recordEnd(o audit.Outcome, state problem.ExecutionState, digest []byte, detail string) {
	r := a.newRecord(audit.End)
	r.Outcome = o
	r.Execution = state
	r.ResponseDigest = digest
	r.Detail = detail
	a.append(r)
}
