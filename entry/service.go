package entry

import (
	"net/http"
	"slices"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/upstream"
)

// serviceJob is one call to a plain service.
type serviceJob struct {
	q    *request
	svc  *settings.Service
	op   string
	call upstream.ServiceCall
}

// stage describes the call as a stage, for routing and the audit log.
func (j *serviceJob) stage() settings.Stage {
	return settings.Stage{Name: j.svc.Name, Kind: settings.Plain, Pool: j.svc.Pool}
}

// handleService answers POST /v1/services/{name}/{op}.
func (s *Server) handleService(w http.ResponseWriter, r *http.Request) error {
	q, err := s.accept(r)
	if err != nil {
		return err
	}
	w.Header().Set(HeaderRequest, q.id.String())
	j, err := s.readService(w, r, q)
	if err != nil {
		return s.refuse(q, err)
	}
	if !j.svc.Repeatable(j.op) {
		return s.serveKeyed(w, r, j)
	}
	return s.serveRepeatable(w, r, j)
}

// readService reads and checks the call.
func (s *Server) readService(w http.ResponseWriter, r *http.Request, q *request) (*serviceJob, error) {
	name, op := r.PathValue("name"), r.PathValue("op")
	svc, ok := q.tree.Service(name)
	if !ok {
		return nil, q.fail(problem.UnknownService, "service %q", name)
	}
	if !slices.Contains(q.workspace.Services, name) {
		return nil, q.fail(problem.Forbidden, "service %q is not bound to workspace %q", name, q.workspace.Name)
	}
	if err := checkOp(q, op); err != nil {
		return nil, err
	}
	if err := q.bind(r, name+"/"+op); err != nil {
		return nil, err
	}
	contentType := r.Header.Get("Content-Type")
	if !printable(contentType) {
		return nil, q.fail(problem.BadRequest, "Content-Type is not printable ASCII")
	}
	var err error
	if q.key, err = idempotencyKey(q, r); err != nil {
		return nil, err
	}
	if q.key == "" && !svc.Repeatable(op) {
		return nil, q.fail(problem.KeyMissing, "operation %q of service %q", op, name)
	}
	raw, err := body(q.tree, q.branch, w, r)
	if err != nil {
		return nil, err
	}
	call := upstream.ServiceCall{Op: op, Key: q.key, ContentType: contentType, Body: raw}
	return &serviceJob{q: q, svc: svc, op: op, call: call}, nil
}

// sendAnswer sends a service's response to the caller.
func sendAnswer(w http.ResponseWriter, a *command.Answer) {
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	w.WriteHeader(a.Status)
	// The caller may be gone; its answer is stored or may be asked for again.
	_, _ = w.Write(a.Body)
}
