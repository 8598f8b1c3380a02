package gateway

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/exchange"
	"damaskbridge.example/damaskbridge/placement"
)

const (
	// maxBodyBytes bounds an answer that is held in memory.
	maxBodyBytes = 32 << 20
	// hangFactor times the objective is how long a plain request that may be
	// repeated waits for one runner before another is tried.
	hangFactor = 1.2
)

// attempt sends the request to one runner.
func (r *request) attempt(ctx context.Context, entry *placement.Entry) verdict {
	if r.route.Streaming {
		return r.attemptStream(ctx, entry)
	}
	if r.route.Repeat != catalog.RepeatAlways || r.executions+1 >= r.route.MaxRunners {
		return r.attemptPlain(ctx, entry)
	}
	return r.attemptWithin(ctx, entry)
}

// attemptWithin gives a hanging runner up once its time is over, if the budget
// pays for another one.
func (r *request) attemptWithin(ctx context.Context, entry *placement.Entry) verdict {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	limit := time.Duration(hangFactor * float64(r.route.Objective))
	var hung atomic.Bool
	timer := time.AfterFunc(limit, func() {
		if time.Until(r.deadline) > minLeft && r.g.budgets.of(r.service.Name).Spend(time.Now()) {
			hung.Store(true)
			cancel()
		}
	})
	v := r.attemptPlain(ctx, entry)
	if timer.Stop() || !hung.Load() {
		return v
	}
	if !v.done {
		// The repeat is paid for.
		v.arrived, v.cause = false, "hanging"
	}
	return v
}

// attemptPlain has the whole answer read before any of it is passed on.
func (r *request) attemptPlain(ctx context.Context, entry *placement.Entry) verdict {
	if r.service.Engine != nil {
		defer r.g.runners.prefilled(entry, r.call.Prompt.Tokens)
	}
	answer, v := r.send(ctx, entry, r.dispatch(entry, time.Now()))
	if answer == nil {
		r.g.runners.done(entry, v.note)
		return v.verdict
	}
	return r.passWhole(ctx, entry, answer)
}

// noted is a verdict with what it says of the runner.
type noted struct {
	verdict
	note func(*placement.Entry)
}

// send sends d and sorts out the answers that are none: those of runners that
// did not run the request, and failures.
func (r *request) send(ctx context.Context, entry *placement.Entry, d *Dispatch) (*Answer, noted) {
	answer, err := r.g.opts.Upstreams.Send(ctx, d)
	if err != nil {
		return nil, r.failed(ctx, err)
	}
	r.g.runners.told(entry, answer.Load)
	if !answer.NotExecuted {
		return answer, noted{}
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxBodyBytes))
	n := noted{verdict: verdict{arrived: true, cause: "refused_" + http.StatusText(answer.Status)}}
	now := time.Now()
	switch {
	case answer.Misdirected:
		n.cause = "misdirected"
		n.note = func(e *placement.Entry) { e.Misdirected(now) }
	case answer.Status == http.StatusConflict:
		n.inputsGone = true
		n.cause = "inputs_gone"
	default:
		n.note = func(e *placement.Entry) { e.Full(now) }
	}
	return nil, n
}

// failed sorts out an attempt without an answer.
func (r *request) failed(ctx context.Context, err error) noted {
	n := noted{verdict: verdict{executed: exchange.WasSent(err), cause: err.Error()}}
	n.arrived = n.executed
	if ctx.Err() == nil {
		now := time.Now()
		n.note = func(e *placement.Entry) { e.Failed(now) }
	}
	return n
}

// passWhole reads the answer and passes it on, unless it is broken or a
// failure that another runner may make good.
func (r *request) passWhole(ctx context.Context, entry *placement.Entry, answer *Answer) verdict {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBodyBytes))
	_ = answer.Body.Close()
	if err != nil {
		n := r.failed(ctx, &exchange.Error{Addr: entry.Addr, Sent: true, Answered: true, Err: err})
		r.g.runners.done(entry, n.note)
		return n.verdict
	}
	r.g.runners.done(entry, (*placement.Entry).Worked)
	v := verdict{executed: true, arrived: true, cause: "status"}
	if answer.Status >= http.StatusInternalServerError {
		r.executions++
		repeat := r.mayRepeat(time.Now(), &v)
		r.executions--
		if repeat {
			// The repeat is paid for.
			v.arrived = false
			return v
		}
	}
	r.firstAt = time.Now()
	r.status = answer.Status
	r.executions++
	r.g.count.answered(answer.Status)
	r.g.count.began(r.call.Received)
	if err := r.out.Pass(answer.Status, answer.Header, body); err != nil {
		r.broken, r.last = true, err.Error()
	}
	return verdict{done: true}
}
