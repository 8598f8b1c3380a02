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
	"damaskbridge.example/damaskbridge/residency"
	"damaskbridge.example/damaskbridge/settings"
)

// request is one accepted request. It uses the settings that were current when
// it was accepted.
type request struct {
	id        ids.RequestID
	tree      *settings.Tree
	workspace *settings.Workspace
	// branch is the settings branch that applies to the request.
	branch   string
	target   string
	priority admission.Priority
	started  time.Time
	deadline time.Time
	key      string
	audit    *auditTrail
	// beginRecorded is true once the begin record has been passed to the
	// recorder.
	beginRecorded bool
	// mayHaveRun counts attempts that may have been executed. It is incremented
	// before an attempt's first byte and decremented only on proof that nothing
	// was executed, so 0 means that no part of the request ran.
	mayHaveRun       atomic.Int64
	crossRegionBytes atomic.Int64
}

// allowedRegions returns the regions in which the request may be processed.
func (req *request) allowedRegions() residency.Regions {
	return req.tree.Regions(req.branch, settings.AllowedRegions)
}

// executionState returns the execution state to report if the request fails
// now.
func (req *request) executionState() problem.ExecutionState {
	if req.mayHaveRun.Load() == 0 {
		return problem.NotRun
	}
	return problem.Unknown
}

// recordBegin writes the begin record. Unless the branch's setting is "async",
// it returns when the record is durable, so that the audit log knows of a
// request whose entry VM fails.
func (req *request) recordBegin(ctx context.Context) error {
	r := req.newBeginRecord()
	var err error
	if req.tree.String(req.branch, settings.AuditBeforeDispatch) == "async" {
		err = req.audit.recorder.Append(r)
	} else {
		err = req.audit.recorder.Begin(ctx, r)
	}
	// A begin record that returned an error may still have been written. The
	// end record that follows states that nothing ran.
	req.beginRecorded = true
	if err != nil {
		return problem.New(problem.AuditUnavailable, problem.NotRun, "%v", err).WithInstance(req.id.String()).WithRetryAfter(time.Second)
	}
	return nil
}

func (req *request) newBeginRecord() audit.Record {
	r := req.audit.newRecord(audit.Begin)
	r.Workspace = req.workspace.Name
	r.Target = req.target
	r.DeadlineMS = req.deadline.Sub(req.started).Milliseconds()
	r.SettingsVersion = req.tree.Version()
	if req.key != "" {
		sum := sha256.Sum256([]byte(req.key))
		r.KeyDigest = sum[:]
	}
	return r
}

// recordEnd writes the end record of a response, or of a failure if err is not
// nil.
func (req *request) recordEnd(response []byte, err error) {
	if err == nil {
		sum := sha256.Sum256(response)
		req.recordSuccess(sum[:])
		return
	}
	req.recordMissingBegin()
	p, ok := problem.As(err)
	if !ok {
		req.audit.recordEnd(audit.Failed, req.executionState(), nil, err.Error())
		return
	}
	req.audit.recordEnd(auditOutcome(p), p.Execution, nil, string(p.Reason))
}

// recordSuccess writes the end record of a response with the given SHA-256
// digest.
func (req *request) recordSuccess(digest []byte) {
	req.recordMissingBegin()
	req.audit.recordEnd(audit.OK, problem.Executed, digest, "")
}

// recordMissingBegin queues the begin record of a request that ended before
// recordBegin was called. Without it the reserved sequence number would look
// like a request that this VM lost.
func (req *request) recordMissingBegin() {
	if !req.beginRecorded {
		req.audit.append(req.newBeginRecord())
		req.beginRecorded = true
	}
}

// auditOutcome maps a problem to an audit outcome.
func auditOutcome(p *problem.Problem) audit.Outcome {
	switch {
	case p.Execution == problem.NotRun:
		return audit.Rejected
	case p.Reason == problem.DeadlineExceeded:
		return audit.Expired
	case p.Reason == problem.CallerDisconnected:
		return audit.Canceled
	case p.Execution == problem.Unknown:
		return audit.Unknown
	default:
		return audit.Failed
	}
}

// problemf returns a problem for this request with its current execution state.
func (req *request) problemf(k problem.Kind, format string, args ...any) *problem.Problem {
	return problem.New(k, req.executionState(), format, args...).WithInstance(req.id.String())
}
