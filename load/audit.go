package load

import (
	"context"

	"damaskbridge.example/damaskbridge/standin"
)

// auditBatch is the number of names in one question to the observer.
const auditBatch = 10_000

// audit asks the upstreams' side what ran and corrects the classes.
func (r *runner) audit(ctx context.Context) error {
	if r.options.Observer == nil {
		return nil
	}
	r.options.Observer.Settle(ctx, r.options.Settle)
	for first := 0; first < len(r.records); first += auditBatch {
		batch := r.records[first:min(first+auditBatch, len(r.records))]
		if err := r.auditBatch(ctx, batch); err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) auditBatch(ctx context.Context, records []*record) error {
	var q standin.AuditRequest
	for _, rec := range records {
		for _, t := range rec.tries {
			if t.verdict == verdictRefused && t.requestID != "" {
				q.Requests = append(q.Requests, t.requestID)
			}
		}
		if rec.request.key != "" {
			q.Keys = append(q.Keys, rec.request.key)
		}
	}
	a, err := r.options.Observer.Audit(ctx, q)
	if err != nil {
		return err
	}
	for _, rec := range records {
		rec.correct(a)
	}
	return nil
}

// correct changes the class where the upstreams' side shows another.
func (r *record) correct(a standin.AuditResponse) {
	r.correctRefusals(a)
	if r.request.key == "" {
		return
	}
	r.executions = a.Executions[r.request.key]
	switch {
	case r.executions > 1:
		r.outcome = Duplicate
		r.note = "key " + r.request.key + " executed more than once"
	case r.executions == 0 && (r.outcome == OK || r.outcome == Late):
		r.outcome = Lost
		r.note = "key " + r.request.key + " was confirmed and never executed"
	}
}

// correctRefusals decides for each not_run problem whether it was true. One
// without a request id can be checked only by its key, and only if no other
// try of the request can have executed it.
func (r *record) correctRefusals(a standin.AuditResponse) {
	onlyRefused := true
	for _, t := range r.tries {
		onlyRefused = onlyRefused && (t.verdict == verdictRefused || t.verdict == verdictNotSent)
	}
	byKey := onlyRefused && r.request.key != ""
	keyRan := byKey && a.Executions[r.request.key] > 0
	unchecked := 0
	for _, t := range r.tries {
		if t.verdict != verdictRefused {
			continue
		}
		if t.requestID == "" && !byKey {
			unchecked++
			continue
		}
		r.checkedRefusals++
		if a.Ran[t.requestID] > 0 || keyRan {
			r.falseRefusals++
			r.note = "not_run of request " + t.requestID + " is false: " + t.note
		}
	}
	switch {
	case !r.refused():
	case r.falseRefusals > 0:
		r.outcome = RefusedFalse
	case unchecked == 0:
		r.outcome = RefusedTrue
	}
}
