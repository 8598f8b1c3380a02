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
	req  *request
	svc  *settings.Service
	op   string
	call upstream.ServiceCall
}

// stage returns the call as a pipeline stage, for routing and the audit log.
func (job *serviceJob) stage() settings.Stage {
	return settings.Stage{Name: job.svc.Name, Kind: settings.KindService, Pool: job.svc.Pool}
}

// handleService serves POST /v1/services/{name}/{op}.
func (s *Server) handleService(w http.ResponseWriter, r *http.Request) error {
	req, err := s.accept(r)
	if err != nil {
		return err
	}
	w.Header().Set(HeaderRequest, req.id.String())
	job, err := s.readServiceJob(w, r, req)
	if err != nil {
		return s.failRequest(req, err)
	}
	if err := s.refuseDraining(req, job.svc.Repeatable(job.op)); err != nil {
		return s.failRequest(req, err)
	}
	if !job.svc.Repeatable(job.op) {
		return s.serveKeyed(w, r, job)
	}
	return s.serveRepeatable(w, r, job)
}

// readServiceJob reads and validates a call.
func (s *Server) readServiceJob(w http.ResponseWriter, r *http.Request, req *request) (*serviceJob, error) {
	name, op := r.PathValue("name"), r.PathValue("op")
	svc, ok := req.tree.Service(name)
	if !ok {
		return nil, req.problemf(problem.UnknownService, "service %q", name)
	}
	if !slices.Contains(req.workspace.Services, name) {
		return nil, req.problemf(problem.Forbidden, "service %q is not bound to workspace %q", name, req.workspace.Name)
	}
	if err := checkOperation(req, op); err != nil {
		return nil, err
	}
	if err := req.bindTarget(r, name+"/"+op); err != nil {
		return nil, err
	}
	contentType := r.Header.Get("Content-Type")
	if !isPrintableASCII(contentType) {
		return nil, req.problemf(problem.BadRequest, "Content-Type is not printable ASCII")
	}
	var err error
	if req.key, err = idempotencyKey(req, r); err != nil {
		return nil, err
	}
	if req.key == "" && !svc.Repeatable(op) {
		return nil, req.problemf(problem.KeyMissing, "operation %q of service %q", op, name)
	}
	raw, err := readBody(req.tree, req.branch, w, r)
	if err != nil {
		return nil, err
	}
	call := upstream.ServiceCall{Op: op, Key: req.key, ContentType: contentType, Body: raw}
	return &serviceJob{req: req, svc: svc, op: op, call: call}, nil
}

// writeAnswer writes a service's response to the caller.
func writeAnswer(w http.ResponseWriter, a *command.Answer) {
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	w.WriteHeader(a.Status)
	// The caller may be gone. A keyed answer is stored and other calls may be
	// repeated.
	_, _ = w.Write(a.Body)
}
