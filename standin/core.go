package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Common holds the options that all runners have.
type Common struct {
	Runner Runner
	// TimeScale multiplies all simulated working times; 0 stands for 1. Tests
	// use small values to run fast.
	TimeScale float64
	// LoadLag is the age of the reported load, in real time.
	LoadLag time.Duration
	// Now is the clock, time.Now if nil.
	Now func() time.Time
}

// core is the part that all runners share: journal, load, faults and the
// paths /fault, /counters and /load.
type core struct {
	Common
	journal *Journal
	faults  *faultSet
	load    *loadHistory
	mux     *http.ServeMux
	done    chan struct{}
	close   sync.Once

	// crashed drops what a process loses when it ends; nil drops nothing.
	crashed func()

	hookMu sync.Mutex
	hook   func(Fault, *conn)

	lastMu sync.Mutex
	last   *response
}

func newCore(c Common) *core {
	if c.TimeScale == 0 {
		c.TimeScale = 1
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	k := &core{
		Common:  c,
		journal: newJournal(),
		faults:  newFaultSet(),
		load:    newLoadHistory(c.LoadLag, c.Now),
		mux:     http.NewServeMux(),
		done:    make(chan struct{}),
	}
	k.mux.HandleFunc("POST /fault", k.serveFault)
	k.mux.HandleFunc("GET /counters", k.serveCounters)
	k.mux.HandleFunc("GET /load", k.serveLoad)
	return k
}

// ServeHTTP answers one call.
func (k *core) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	k.mux.ServeHTTP(w, r)
}

// Info identifies the runner.
func (k *core) Info() Runner { return k.Runner }

// Journal returns what the runner saw and executed.
func (k *core) Journal() *Journal { return k.journal }

// Counters returns the runner's counts.
func (k *core) Counters() Counters { return k.journal.Counters() }

// Load returns the load as the runner reports it, late and perhaps wrong.
func (k *core) Load() LoadReport {
	r := k.load.report()
	if f, ok := k.faults.get(FaultWrongLoad); ok {
		r.Running, r.Waiting = f.Running, f.Waiting
	}
	_, r.Draining = k.faults.get(FaultDrain)
	return r
}

// RealLoad returns the present load, for checks from the upstream's side.
func (k *core) RealLoad() (running, waiting int) { return k.load.real() }

// Fault uses a fault switch. Faults of connections and listeners need the
// runner to be served by Serve.
func (k *core) Fault(f Fault) error { return k.fault(f, nil) }

// fault uses a fault switch and spares the connection over which it was asked
// for, so that the answer arrives.
func (k *core) fault(f Fault, spare *conn) error {
	if err := f.Check(); err != nil {
		return err
	}
	k.faults.set(f)
	k.hookMu.Lock()
	hook := k.hook
	k.hookMu.Unlock()
	if hook != nil {
		hook(f, spare)
	}
	if f.Kind == FaultCrash && k.crashed != nil {
		k.crashed()
	}
	return nil
}

// onFault sets the function that is called with each use of a fault switch.
func (k *core) onFault(hook func(Fault, *conn)) {
	k.hookMu.Lock()
	defer k.hookMu.Unlock()
	k.hook = hook
}

// Close ends the work in progress.
func (k *core) Close() {
	k.close.Do(func() { close(k.done) })
}

func (k *core) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		errorResponse(http.StatusBadRequest, "bad_fault", err.Error()).write(w)
		return
	}
	if err := k.fault(f, connOf(r)); err != nil {
		errorResponse(http.StatusBadRequest, "bad_fault", err.Error()).write(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (k *core) serveCounters(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, k.Counters())
}

func (k *core) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, k.Load())
}

// work registers h for calls that execute something: the attempt is recorded
// and echoed, and a leaving or overloaded runner rejects the call.
func (k *core) work(pattern string, h http.HandlerFunc) {
	k.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get(HeaderAttempt)
		k.journal.arrive(attempt)
		if attempt != "" {
			w.Header().Set(HeaderAttempt, attempt)
		}
		w.Header().Set(HeaderLoad, k.Load().header())
		if _, ok := k.faults.take(FaultDrain); ok {
			w.Header().Set(HeaderDraining, "true")
			k.reject(w, http.StatusServiceUnavailable, "draining", "the upstream is leaving")
			return
		}
		if _, ok := k.faults.take(FaultOverload); ok {
			k.reject(w, http.StatusTooManyRequests, "overloaded", "the upstream is overloaded")
			return
		}
		h(w, r)
	})
}

// reject answers a call that was not executed.
func (k *core) reject(w http.ResponseWriter, status int, kind, message string) {
	k.journal.update(func(c *Counters) { c.Rejected++ })
	w.Header().Set(HeaderNotExecuted, "true")
	errorResponse(status, kind, message).write(w)
}

// scaled returns the real duration of a simulated one.
func (k *core) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * k.TimeScale * k.faults.slowFactor())
}

// pause waits for a real duration; it is false if ctx or the runner ended.
func (k *core) pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	case <-k.done:
		return false
	}
}

// deliver sends a finished response, subject to the faults in force. The
// context of a call that executes to its end regardless may already be done.
func (k *core) deliver(w http.ResponseWriter, r *http.Request, res response) {
	if f, ok := k.faults.take(FaultLate); ok {
		k.pause(noCancel(r), f.delay())
	}
	if r.Context().Err() != nil {
		k.journal.update(func(c *Counters) { c.FinishedAfterGone++ })
	}
	res = k.swap(w, res)
	if _, ok := k.faults.take(FaultDie); ok {
		k.die(w, res)
	}
	res.write(w)
}

// swap returns the response of the call before, if the fault is in force and
// there was such a call.
func (k *core) swap(w http.ResponseWriter, res response) response {
	if _, ok := k.faults.get(FaultSwap); !ok {
		return res
	}
	own := res
	own.header = res.header.Clone()
	if a := w.Header().Get(HeaderAttempt); a != "" {
		own.header.Set(HeaderAttempt, a)
	}
	k.lastMu.Lock()
	defer k.lastMu.Unlock()
	other := k.last
	k.last = &own
	if other == nil {
		return own
	}
	return *other
}

// die sends the first half of a response and resets the connection.
func (k *core) die(w http.ResponseWriter, res response) {
	half := res
	half.body = res.body[:len(res.body)/2]
	w.Header().Set("Content-Length", itoa(len(res.body)))
	half.write(w)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// noCancel returns the context of work that goes on when the caller has gone.
func noCancel(r *http.Request) context.Context {
	return context.WithoutCancel(r.Context())
}
