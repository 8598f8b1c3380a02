package controlvm

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"damaskbridge.example/damaskbridge/admin"
	"damaskbridge.example/damaskbridge/audit"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/session"
	"github.com/VictoriaMetrics/metrics"
)

// auditQueryTimeout is the timeout of one request to the audit API.
const auditQueryTimeout = 30 * time.Second

// adminHandler returns the HTTP handler for operators. It serves health checks,
// metrics and the audit API; the admin API serves all other paths.
func (v *VM) adminHandler(api *admin.API, operators *admin.Operators) http.Handler {
	mux := http.NewServeMux()
	health := v.server.Handler()
	mux.Handle("GET /healthz", health)
	mux.Handle("GET /readyz", health)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		v.server.WriteMetrics(w)
		api.WriteMetrics(w)
		metrics.WritePrometheus(w, true)
	})
	mux.Handle("GET /v1/audit/requests/{id}", v.requireOperator(operators, v.requestAccount))
	mux.Handle("GET /v1/audit/unaccounted", v.requireOperator(operators, v.unaccountedRequests))
	mux.Handle("GET /v1/audit/verify", v.requireOperator(operators, v.verifyAuditLog))
	mux.Handle("/", api)
	return mux
}

// requireOperator returns a handler that authenticates an operator, calls f and
// writes its result as JSON.
func (v *VM) requireOperator(operators *admin.Operators, f func(context.Context, *http.Request) (any, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := operators.Authenticate(r); err != nil {
			writeError(w, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), auditQueryTimeout)
		defer cancel()
		out, err := f(ctx, r)
		if err != nil {
			writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	})
}

func writeError(w http.ResponseWriter, err error) {
	p, ok := problem.As(err)
	if !ok {
		p = problem.New(problem.ControlUnavailable, problem.NotRun, "%v", err).WithRetryAfter(time.Second)
	}
	p.Write(w)
}

// requestAccount returns the audit records of one request and their summary.
func (v *VM) requestAccount(ctx context.Context, r *http.Request) (any, error) {
	id, err := ids.ParseRequestID(r.PathValue("id"))
	if err != nil {
		return nil, problem.New(problem.BadRequest, problem.NotRun, "%v", err)
	}
	state, err := v.sessionState(ctx, id.Session)
	if err != nil {
		return nil, err
	}
	entries, missing := v.auditReader().Query(ctx, id)
	b := &backend{vm: v}
	out := admin.RequestAuditReply{Summary: audit.Summarize(id, entries, state), Records: entries, Complete: len(missing) == 0, Missing: b.vmsAt(missing)}
	return out, nil
}

// unaccountedRequests lists the requests of all ended sessions that have no end
// record or no record at all.
func (v *VM) unaccountedRequests(ctx context.Context, _ *http.Request) (any, error) {
	sessions, err := v.sessions(ctx)
	if err != nil {
		return nil, err
	}
	sessions = slices.DeleteFunc(sessions, func(i session.Info) bool { return i.End == session.Open })
	b := &backend{vm: v}
	out := admin.UnaccountedReply{Complete: true, Sessions: []audit.UnaccountedReport{}}
	for i, r := range b.readSessions(ctx, sessions) {
		report := audit.Unaccounted(r.entries, sessionStateOf(&sessions[i]))
		if len(report.WithoutEnd)+len(report.WithoutRecord) > 0 {
			out.Sessions = append(out.Sessions, report)
		}
		for _, vm := range b.vmsAt(r.missing) {
			out.Complete = false
			if !slices.Contains(out.Missing, vm) {
				out.Missing = append(out.Missing, vm)
			}
		}
	}
	return out, nil
}

// verifyAuditLog verifies the hash chain of this VM's audit log.
func (v *VM) verifyAuditLog(context.Context, *http.Request) (any, error) {
	return v.store.Verify()
}
