package entry

import (
	"net/http"
	"time"

	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/settings"
)

// resolveCaller authenticates the caller against the current settings. It
// returns an error if the settings lease is not valid.
func (s *Server) resolveCaller(r *http.Request) (*snapshot, *settings.Workspace, error) {
	snap := s.subscriber.snapshot()
	if !snap.current(time.Now()) {
		return nil, nil, problem.New(problem.SettingsStale, problem.NotRun, "the settings lease has expired").WithRetryAfter(time.Second)
	}
	ws, err := authenticate(snap.tree, r)
	return snap, ws, err
}

// accept authenticates the caller and assigns the request its ID. An accepted
// request must end with failRequest or recordEnd, so that the audit log has its
// end.
func (s *Server) accept(r *http.Request) (*request, error) {
	snap, ws, err := s.resolveCaller(r)
	if err != nil {
		return nil, err
	}
	id, ok := s.seq.next()
	if !ok || id.Session != snap.session {
		return nil, problem.New(problem.ControlUnavailable, problem.NotRun, "no sequence number is reserved").WithRetryAfter(time.Second)
	}
	now := time.Now()
	req := &request{
		id:        id,
		tree:      snap.tree,
		workspace: ws,
		branch:    ws.Branch,
		target:    auditPath(r.URL.Path),
		started:   now,
		deadline:  now.Add(snap.tree.Duration(ws.Branch, settings.DeadlineDefault)),
		audit:     &auditTrail{recorder: s.opts.Audit, request: id, onLost: s.counters.countLostRecord},
	}
	return req, nil
}

// bindTarget sets the request's target, the settings branch that follows from
// it, the deadline and the priority.
func (req *request) bindTarget(r *http.Request, target string) error {
	req.target = target
	req.branch = settings.ChildBranch(req.workspace.Branch, target)
	var err error
	if req.deadline, err = requestDeadline(req.tree, req.branch, r, req.started); err != nil {
		return err
	}
	req.priority, err = requestPriority(req.tree, req.branch, r)
	return err
}

// failRequest records the end of a request that failed with err and returns err
// with the request's ID filled in.
func (s *Server) failRequest(req *request, err error) error {
	if p, ok := problem.As(err); ok && p.Instance == "" {
		p.Instance = req.id.String()
	}
	req.recordEnd(nil, err)
	return err
}
