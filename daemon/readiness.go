package daemon

import (
	"net/http"
	"sync/atomic"
)

// Readiness answers a load balancer that asks whether this VM takes requests: 200 if
// it does, 503 if not. It is safe for concurrent use.
type Readiness struct {
	ready  func() bool
	denied atomic.Bool
}

// NewReadiness returns a Readiness that asks ready, until Deny is called.
func NewReadiness(ready func() bool) *Readiness { return &Readiness{ready: ready} }

// Deny has every answer from now on say that this VM is not ready.
func (r *Readiness) Deny() { r.denied.Store(true) }

// ServeHTTP answers 200 if this VM is ready.
func (r *Readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if r.denied.Load() || !r.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
