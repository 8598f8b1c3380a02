package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"damaskbridge.example/damaskbridge/problem"
	"github.com/VictoriaMetrics/metrics"
)

const (
	// MaxBodyBytes bounds a request body. A document with 19,000 workspaces
	// has about 6 MB.
	MaxBodyBytes = 32 << 20
	// MaxWait bounds GET /v1/in-effect; a client asks again for longer waits.
	MaxWait = 30 * time.Second
	// MaxHistory and MaxAuditLimit bound the length of replies.
	MaxHistory    = 1000
	MaxAuditLimit = 10_000
	// retryHint is the time after which a control VM is likely to have found
	// a leader again.
	retryHint = time.Second
)

// API serves the operators' HTTP API. It is safe for concurrent use.
type API struct {
	backend   Backend
	operators *Operators
	mux       *http.ServeMux
	metrics   *metrics.Set
}

// New gives the API over a backend for the given operators.
func New(b Backend, operators *Operators) *API {
	a := &API{backend: b, operators: operators, mux: http.NewServeMux(), metrics: metrics.NewSet()}
	a.handle("POST /v1/changes", a.postChange)
	a.handle("GET /v1/changes/{id}", a.getChange)
	a.handle("POST /v1/diff", a.postDiff)
	a.handle("GET /v1/version", a.getVersion)
	a.handle("GET /v1/document", a.getDocument)
	a.handle("GET /v1/effective", a.getEffective)
	a.handle("GET /v1/objects/{kind}/{name}", a.getObject)
	a.handle("GET /v1/history", a.getHistory)
	a.handle("GET /v1/in-effect", a.getInEffect)
	a.handle("GET /v1/status", a.getStatus)
	a.handle("POST /v1/entries/{vm}/drain", a.postDrain)
	a.handle("GET /v1/audit", a.getAudit)
	a.handle("/", a.notFound)
	return a
}

// ServeHTTP serves one request.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// call is one authenticated request.
type call struct {
	*http.Request
	operator string
}

// handler gives the value to send as JSON, or an error.
type handler func(c *call) (any, error)

func (a *API) handle(pattern string, h handler) {
	a.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		operator, ok := a.operators.find(r.Header.Get("Authorization"))
		if !ok {
			a.refuse(w, unauthenticated())
			return
		}
		v, err := h(&call{Request: r, operator: operator})
		if err != nil {
			a.refuse(w, toProblem(r, err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// The operator may be gone; there is no one left to tell.
		_ = json.NewEncoder(w).Encode(v)
	})
}

// refuse counts a problem by its reason and sends it.
func (a *API) refuse(w http.ResponseWriter, p *problem.Problem) {
	a.metrics.GetOrCreateCounter(fmt.Sprintf("damask_admin_problems_total{reason=%q}", p.Reason)).Inc()
	p.Write(w)
}

// WriteMetrics writes the counters in the text format of Prometheus.
func (a *API) WriteMetrics(w io.Writer) { a.metrics.WritePrometheus(w) }

func unauthenticated() *problem.Problem {
	p := problem.New(problem.Unauthenticated, problem.NotRun, "the call needs an operator's token")
	p.Remedy = "Send a valid operator token as 'Authorization: Bearer ...'."
	return p
}

// toProblem gives the problem in err, or control_unavailable for any other
// error. Whether a change was applied is then not known; its id tells.
func toProblem(r *http.Request, err error) *problem.Problem {
	if p, ok := problem.As(err); ok {
		return p
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		p := problem.New(problem.BodyTooLarge, problem.NotRun, "the body is larger than %d bytes", tooLarge.Limit)
		p.Remedy = "Split the change into smaller ones."
		return p
	}
	if r.Method == http.MethodGet {
		return problem.New(problem.ControlDown, problem.NotRun, "%v", err).After(retryHint)
	}
	p := problem.New(problem.ControlDown, problem.Unknown, "%v", err)
	p.Remedy = "Send the same request with the same change id again, here or at another control VM."
	return p.After(retryHint)
}

func badRequest(format string, args ...any) *problem.Problem {
	return problem.New(problem.BadRequest, problem.NotRun, format, args...)
}

func (a *API) notFound(c *call) (any, error) {
	return nil, problem.New(problem.NotFound, problem.NotRun, "%s %s", c.Method, c.URL.Path)
}

func (c *call) readAll() ([]byte, error) {
	b, err := io.ReadAll(c.Body)
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, err
		}
		return nil, badRequest("the body could not be read: %v", err)
	}
	return b, nil
}

// withWait bounds the context of a call that may wait.
func (c *call) withWait(wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.Context(), wait)
}
