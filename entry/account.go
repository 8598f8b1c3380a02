package entry

import (
	"context"
	"time"

	"damaskbridge.example/damaskbridge/audit"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/problem"
)

// Recorder writes audit records. audit.Writer is one.
type Recorder interface {
	// Begin returns when the record is durable on a control VM.
	Begin(ctx context.Context, r audit.Record) error
	// Append queues the record.
	Append(r audit.Record) error
	// Flush returns when all queued records are durable.
	Flush(ctx context.Context) error
}

// account writes the audit records of one request.
type account struct {
	to      Recorder
	request ids.RequestID
	// failed counts records that could not be queued.
	failed func()
}

func (a *account) record(k audit.Kind) audit.Record {
	return audit.Record{Kind: k, Request: a.request, AtUnixMS: time.Now().UnixMilli()}
}

func (a *account) append(r audit.Record) {
	if err := a.to.Append(r); err != nil {
		a.failed()
	}
}

// dispatch notes an attempt before its first byte is written.
func (a *account) dispatch(stage string, attempt int, addr string) {
	r := a.record(audit.Dispatch)
	r.Stage = stage
	r.Attempt = uint32(attempt)
	r.Upstream = addr
	a.append(r)
}

// stageEnd notes how an attempt ended.
func (a *account) stageEnd(stage string, attempt int, addr string, o audit.Outcome, detail string) {
	r := a.record(audit.StageEnd)
	r.Stage = stage
	r.Attempt = uint32(attempt)
	r.Upstream = addr
	r.Outcome = o
	r.Detail = detail
	a.append(r)
}

// end notes how the request ended.
func (a *account) end(o audit.Outcome, state problem.State, digest []byte, detail string) {
	r := a.record(audit.End)
	r.Outcome = o
	r.Execution = state
	r.ResponseDigest = digest
	r.Detail = detail
	a.append(r)
}
