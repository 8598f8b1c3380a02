package entry

import (
	"net/http"
	"time"

	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/settings"
)

// caller finds the caller's workspace under settings that are current.
func (s *Server) caller(r *http.Request) (*snapshot, *settings.Workspace, error) {
	snap := s.sub.snapshot()
	if !snap.current(time.Now()) {
		return nil, nil, problem.New(problem.SettingsStale, problem.NotRun, "the settings lease has run out").After(time.Second)
	}
	ws, err := authenticate(snap.tree, r)
	return snap, ws, err
}

// accept authenticates the caller and gives the request its id. From here on
// the request is accounted for: it ends with refuse or finish.
func (s *Server) accept(r *http.Request) (*request, error) {
	snap, ws, err := s.caller(r)
	if err != nil {
		return nil, err
	}
	id, ok := s.seq.next()
	if !ok || id.Session != snap.session {
		return nil, problem.New(problem.ControlDown, problem.NotRun, "no sequence number is reserved").After(time.Second)
	}
	now := time.Now()
	q := &request{
		id:        id,
		tree:      snap.tree,
		workspace: ws,
		branch:    ws.Branch,
		target:    auditText(r.URL.Path),
		started:   now,
		deadline:  now.Add(snap.tree.Duration(ws.Branch, settings.DeadlineDefault)),
		account:   &account{to: s.opts.Audit, request: id, failed: s.counters.auditLost},
	}
	return q, nil
}

// bind gives the request its target, and with it the branch of its settings,
// its deadline and its priority.
func (q *request) bind(r *http.Request, target string) error {
	q.target = target
	q.branch = settings.ChildBranch(q.workspace.Branch, target)
	var err error
	if q.deadline, err = deadline(q.tree, q.branch, r, q.started); err != nil {
		return err
	}
	q.priority, err = priority(q.tree, q.branch, r)
	return err
}

// refuse accounts for a request that ends with a problem and gives it back.
func (s *Server) refuse(q *request, err error) error {
	if p, ok := problem.As(err); ok && p.Instance == "" {
		p.Instance = q.id.String()
	}
	q.finish(nil, err)
	return err
}
