package entry

import (
	"context"
	"crypto/sha256"
	"sync/atomic"
	"time"

	"damaskbridge.example/damaskbridge/admission"
	"damaskbridge.example/damaskbridge/audit"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/settings"
)

// request is one accepted request. Its settings stay those it began with.
type request struct {
	id        ids.RequestID
	tree      *settings.Tree
	workspace *settings.Workspace
	// branch is where the request's settings are looked up.
	branch   string
	target   string
	priority admission.Priority
	started  time.Time
	deadline time.Time
	key      string
	account  *account
	// begun is true once the begin record was handed to the recorder.
	begun bool
	// mayHaveRun counts attempts that may have been executed. It is raised
	// before an attempt's first byte and lowered only on proof that nothing
	// was executed, so 0 means that nothing of the request ran.
	mayHaveRun       atomic.Int64
	crossRegionBytes atomic.Int64
}

// state says what is known of the request's execution if it fails now.
func (q *request) state() problem.State {
	if q.mayHaveRun.Load() == 0 {
		return problem.NotRun
	}
	return problem.Unknown
}

// begin writes the begin record. Unless the branch says async, it returns when
// the record is durable, so that a request whose entry VM dies is known.
func (q *request) begin(ctx context.Context) error {
	r := q.beginRecord()
	var err error
	if q.tree.String(q.branch, settings.AuditBeforeDispatch) == "async" {
		err = q.account.to.Append(r)
	} else {
		err = q.account.to.Begin(ctx, r)
	}
	// A begin record whose durability is not known may still be written; the
	// end record that follows says that nothing ran.
	q.begun = true
	if err != nil {
		return problem.New(problem.AuditDown, problem.NotRun, "%v", err).For(q.id.String()).After(time.Second)
	}
	return nil
}

func (q *request) beginRecord() audit.Record {
	r := q.account.record(audit.Begin)
	r.Workspace = q.workspace.Name
	r.Target = q.target
	r.DeadlineMS = q.deadline.Sub(q.started).Milliseconds()
	r.SettingsVersion = q.tree.Version()
	if q.key != "" {
		sum := sha256.Sum256([]byte(q.key))
		r.KeyDigest = sum[:]
	}
	return r
}

// finish writes the end record of a response or a problem.
func (q *request) finish(response []byte, err error) {
	if err == nil {
		sum := sha256.Sum256(response)
		q.finishDigest(sum[:])
		return
	}
	q.recordMissingBegin()
	p, ok := problem.As(err)
	if !ok {
		q.account.end(audit.Failed, q.state(), nil, err.Error())
		return
	}
	q.account.end(outcomeOf(p), p.Execution, nil, string(p.Reason))
}

// finishDigest writes the end record of a response with the given SHA-256.
func (q *request) finishDigest(digest []byte) {
	q.recordMissingBegin()
	q.account.end(audit.OK, problem.Ran, digest, "")
}

// recordMissingBegin queues the begin record of a request that was refused
// before its begin record was written. Without it the reserved number would
// look like a request that this VM had lost.
func (q *request) recordMissingBegin() {
	if !q.begun {
		q.account.append(q.beginRecord())
		q.begun = true
	}
}

// outcomeOf maps a problem to the audit log's outcome.
func outcomeOf(p *problem.Problem) audit.Outcome {
	switch {
	case p.Execution == problem.NotRun:
		return audit.Rejected
	case p.Reason == problem.DeadlineExceeded:
		return audit.Expired
	case p.Reason == problem.CallerGone:
		return audit.Canceled
	case p.Execution == problem.Unknown:
		return audit.Unknown
	default:
		return audit.Failed
	}
}

// fail makes a problem about this request with its current execution state.
func (q *request) fail(k problem.Kind, format string, args ...any) *problem.Problem {
	return problem.New(k, q.state(), format, args...).For(q.id.String())
}
