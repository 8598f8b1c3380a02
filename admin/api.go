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
	// MaxBodyBytes limits the size of a request body. A settings document with
	// 19,000 workspaces is about 6 MB.
	MaxBodyBytes = 32 << 20
	// MaxWait limits the wait of GET /v1/in-effect. A client repeats the
	// request to wait longer.
	MaxWait = 30 * time.Second
	// MaxHistory and MaxAuditLimit limit the number of changes and of audit
	// records in a reply.
	MaxHistory    = 1000
	MaxAuditLimit = 10_000
	// controlRetryAfter is the Retry-After of control_unavailable. An election
	// is likely to be over by then.
	controlRetryAfter = time.Second
)

// API serves the operators' HTTP API. It is safe for concurrent use.
type API struct {
	backend   Backend
	operators *Operators
	mux       *http.ServeMux
	metrics   *metrics.Set
}

// New returns an API that serves the given operators from a backend.
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

// ServeHTTP authenticates a request, dispatches it to its handler and writes the
// reply as JSON or as problem details.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// operatorRequest is an authenticated request and the name of its operator.
type operatorRequest struct {
	*http.Request
	operator string
}

// handler returns the value to send as JSON, or an error, which toProblem
// converts.
type handler func(req *operatorRequest) (any, error)

func (a *API) handle(pattern string, h handler) {
	a.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		operator, ok := a.operators.lookupHeader(r.Header.Get("Authorization"))
		if !ok {
			a.writeProblem(w, unauthenticatedProblem())
			return
		}
		v, err := h(&operatorRequest{Request: r, operator: operator})
		if err != nil {
			a.writeProblem(w, toProblem(r, err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// An error means that the client has disconnected, so it cannot be
		// reported.
		_ = json.NewEncoder(w).Encode(v)
	})
}

// writeProblem sends a problem and counts it by its reason.
func (a *API) writeProblem(w http.ResponseWriter, p *problem.Problem) {
	a.metrics.GetOrCreateCounter(fmt.Sprintf("damask_admin_problems_total{reason=%q}", p.Reason)).Inc()
	p.Write(w)
}

// WriteMetrics writes the counters in the Prometheus text format.
func (a *API) WriteMetrics(w io.Writer) { a.metrics.WritePrometheus(w) }

func unauthenticatedProblem() *problem.Problem {
	p := problem.New(problem.Unauthenticated, problem.NotRun, "the request has no valid operator token")
	p.Remedy = "Send a valid operator token as 'Authorization: Bearer ...'."
	return p
}

// toProblem returns the problem that err wraps, body_too_large for a body over
// the limit, and control_unavailable for any other error. Whether a change was
// applied is unknown in the last case; sending it again with the same change id
// returns its result.
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
		return problem.New(problem.ControlUnavailable, problem.NotRun, "%v", err).WithRetryAfter(controlRetryAfter)
	}
	p := problem.New(problem.ControlUnavailable, problem.Unknown, "%v", err)
	p.Remedy = "Send the same request with the same change id again, here or at another control VM."
	return p.WithRetryAfter(controlRetryAfter)
}

func badRequestProblem(format string, args ...any) *problem.Problem {
	return problem.New(problem.BadRequest, problem.NotRun, format, args...)
}

func (a *API) notFound(req *operatorRequest) (any, error) {
	return nil, problem.New(problem.NotFound, problem.NotRun, "%s %s", req.Method, req.URL.Path)
}

// readBody reads the whole body. It passes *http.MaxBytesError on for toProblem
// and reports any other error as bad_request.
func (req *operatorRequest) readBody() ([]byte, error) {
	b, err := io.ReadAll(req.Body)
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, err
		}
		return nil, badRequestProblem("the body could not be read: %v", err)
	}
	return b, nil
}

// withTimeout returns the request's context with a timeout.
func (req *operatorRequest) withTimeout(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(req.Context(), timeout)
}
