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

// auditTimeout limits one account of the audit log.
const auditTimeout = 30 * time.Second

// mux is the HTTP API for operators: health, metrics, the account of requests,
// and the admin API for every other path.
func (v *VM) mux(api *admin.API, operators *admin.Operators) http.Handler {
	m := http.NewServeMux()
	own := v.server.Handler()
	m.Handle("GET /healthz", own)
	m.Handle("GET /readyz", own)
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		v.server.WriteMetrics(w)
		api.WriteMetrics(w)
		metrics.WritePrometheus(w, true)
	})
	m.Handle("GET /v1/audit/requests/{id}", v.operator(operators, v.accountRequest))
	m.Handle("GET /v1/audit/unaccounted", v.operator(operators, v.unaccounted))
	m.Handle("GET /v1/audit/verify", v.operator(operators, v.verify))
	m.Handle("/", api)
	return m
}

// operator lets only operators call f and writes what it gives.
func (v *VM) operator(operators *admin.Operators, f func(context.Context, *http.Request) (any, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := operators.Authenticate(r); err != nil {
			writeError(w, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), auditTimeout)
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
		p = problem.New(problem.ControlDown, problem.NotRun, "%v", err).After(time.Second)
	}
	p.Write(w)
}

// accountRequest accounts for one request.
func (v *VM) accountRequest(ctx context.Context, r *http.Request) (any, error) {
	id, err := ids.ParseRequestID(r.PathValue("id"))
	if err != nil {
		return nil, problem.New(problem.BadRequest, problem.NotRun, "%v", err)
	}
	state, err := v.sessionState(ctx, id.Session)
	if err != nil {
		return nil, err
	}
	entries, missing := v.reader().Query(ctx, id)
	b := &backend{vm: v}
	out := admin.RequestAccount{Summary: audit.Account(id, entries, state), Records: entries, Complete: len(missing) == 0, Missing: b.names(missing)}
	return out, nil
}

// unaccounted lists the requests without an end of all ended sessions.
func (v *VM) unaccounted(ctx context.Context, _ *http.Request) (any, error) {
	sessions, err := v.sessions(ctx)
	if err != nil {
		return nil, err
	}
	sessions = slices.DeleteFunc(sessions, func(i session.Info) bool { return i.End == session.Open })
	b := &backend{vm: v}
	out := admin.UnaccountedReply{Complete: true, Sessions: []audit.UnaccountedReport{}}
	for i, r := range b.readSessions(ctx, sessions) {
		report := audit.Unaccounted(r.entries, stateOf(&sessions[i]))
		if len(report.WithoutEnd)+len(report.WithoutRecord) > 0 {
			out.Sessions = append(out.Sessions, report)
		}
		for _, vm := range b.names(r.missing) {
			out.Complete = false
			if !slices.Contains(out.Missing, vm) {
				out.Missing = append(out.Missing, vm)
			}
		}
	}
	return out, nil
}

// verify checks the hash chain of this VM's audit log.
func (v *VM) verify(context.Context, *http.Request) (any, error) {
	return v.store.Verify()
}
