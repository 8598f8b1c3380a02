package load

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/internal/timer"
)

// runner makes one run.
type runner struct {
	options  Options
	client   *client
	balancer *balancer
	slots    chan struct{}

	mu      sync.Mutex
	records []*record
}

func newRunner(o Options) *runner {
	http := newHTTPClient()
	return &runner{
		options:  o,
		client:   &client{http: http, measured: newMeasures()},
		balancer: newBalancer(o.Entries, http),
		slots:    make(chan struct{}, o.MaxInFlight),
	}
}

func (r *runner) run(ctx context.Context) (*Report, error) {
	defer r.client.http.CloseIdleConnections()
	r.balancer.checkAll(ctx, r.options.ReadyInterval)
	watch, stop := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { r.balancer.run(watch, r.options.ReadyInterval) })
	start := time.Now()
	r.sendAll(ctx, start)
	stop()
	background.Wait()
	if err := r.audit(ctx); err != nil {
		return nil, err
	}
	return r.report(time.Since(start)), ctx.Err()
}

// sendAll sends each request at its time and waits for the end of all.
func (r *runner) sendAll(ctx context.Context, start time.Time) {
	var open sync.WaitGroup
	defer open.Wait()
	for _, q := range schedule(r.options, start) {
		due := start.Add(q.at)
		if !timer.Sleep(ctx, time.Until(due)) {
			return
		}
		select {
		case r.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		open.Go(func() {
			defer func() { <-r.slots }()
			r.keep(r.serve(ctx, q, due))
		})
	}
}

func (r *runner) keep(rec *record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, rec)
}

// serve carries one request to its end.
func (r *runner) serve(ctx context.Context, q *request, due time.Time) *record {
	limit := due.Add(q.profile.Deadline + r.options.Grace)
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	rec := &record{request: q, lag: max(time.Since(due), 0)}
	r.tryUntil(ctx, rec, due, nil)
	rec.latency = time.Since(due)
	last := rec.deciding()
	rec.settle(last)
	if q.profile.Kind == KindRepeat && last.verdict == verdictRight {
		r.repeat(ctx, rec, due, last)
	}
	return rec
}

// tryUntil tries until there is a final result or no further try is allowed.
func (r *runner) tryUntil(ctx context.Context, rec *record, due time.Time, avoid *target) result {
	tried := map[*target]bool{}
	if avoid != nil {
		tried[avoid] = true
	}
	retries := 0
	for {
		t := r.balancer.pick(tried)
		last := r.client.try(ctx, t, rec.request, due)
		rec.tries = append(rec.tries, last)
		if last.verdict == verdictNotSent {
			t.ready.Store(false)
		}
		d := decide(rec.request, last)
		if d.poll {
			rec.inProgress++
		} else {
			tried[t] = true
			retries++
		}
		if !d.again || retries > r.options.MaxRetries || !inTime(rec.request, due, d.wait) {
			return last
		}
		if !timer.Sleep(ctx, d.wait) {
			return last
		}
	}
}

// inTime says whether a wait ends before the deadline. After it no caller waits
// for a further try.
func inTime(q *request, due time.Time, wait time.Duration) bool {
	return time.Now().Add(wait).Before(due.Add(q.profile.Deadline))
}

// repeat sends the key again to another entry VM, which must give the stored
// response. A refusal of the repetition says nothing about the first.
func (r *runner) repeat(ctx context.Context, rec *record, due time.Time, first result) {
	again := r.tryUntil(ctx, rec, due, first.entry)
	switch {
	case again.verdict == verdictDuplicate:
		rec.outcome = Duplicate
		rec.note = again.note
	case !again.answered():
		rec.note = "repetition: " + again.note
	case again.status != first.status || !bytes.Equal(again.body, first.body):
		rec.outcome = Wrong
		rec.note = fmt.Sprintf("repetition gave %s, first %s", brief(string(again.body)), brief(string(first.body)))
	case again.entry != first.entry && !again.replayed:
		rec.outcome = Wrong
		rec.note = "repetition was not marked as replayed"
	default:
		rec.repeated = true
	}
}
