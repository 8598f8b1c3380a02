package admin

import (
	"bytes"
	"encoding/json"
	"mime"
	"strconv"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/settings"
)

// ChangeRequest is the JSON body of POST /v1/changes. Base is required: a
// change without the version that it was made on could undo another's.
type ChangeRequest struct {
	ID   string        `json:"id"`
	Base *uint64       `json:"base"`
	Ops  []settings.Op `json:"ops"`
}

// ChangeReply is the reply to an accepted change.
type ChangeReply struct {
	settings.ChangeResult
	// Ops are the operations that a document came to; none if it changes
	// nothing.
	Ops []settings.Op `json:"ops,omitempty"`
}

// DiffReply is the reply to POST /v1/diff.
type DiffReply struct {
	Base uint64        `json:"base"`
	Ops  []settings.Op `json:"ops"`
}

// postChange applies operations or, with the content type application/yaml, a
// document with the query parameters id, base and file.
func (a *API) postChange(c *call) (any, error) {
	body, err := c.readAll()
	if err != nil {
		return nil, err
	}
	mediaType, _, err := mime.ParseMediaType(c.Header.Get("Content-Type"))
	if err != nil {
		return nil, badRequest("the Content-Type header: %v; send application/json or application/yaml", err)
	}
	switch mediaType {
	case "application/json":
		return a.applyOps(c, body)
	case "application/yaml":
		return a.applyDocument(c, body)
	}
	return nil, badRequest("the Content-Type %s is not supported; send application/json or application/yaml", mediaType)
}

func (a *API) applyOps(c *call, body []byte) (any, error) {
	var r ChangeRequest
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&r); err != nil {
		return nil, badRequest("the body: %v", err)
	}
	if r.ID == "" || r.Base == nil {
		return nil, badRequest("id and base are required; GET /v1/version gives the version to use as base")
	}
	return a.propose(c, settings.Change{ID: r.ID, Operator: c.operator, Base: *r.Base, Ops: r.Ops})
}

func (a *API) applyDocument(c *call, body []byte) (any, error) {
	id, base, err := documentParameters(c)
	if err != nil {
		return nil, err
	}
	tree, _, err := a.backend.Tree(c.Context())
	if err != nil {
		return nil, err
	}
	change := settings.Change{ID: id, Operator: c.operator, Base: base}
	if base > tree.Version() {
		return nil, badRequest("base %d is above the current version %d; GET /v1/version gives the version to use as base", base, tree.Version())
	}
	_, known := tree.Result(id)
	// The operations of a document depend on the tree. They are made only on
	// the version that the document is for; with a known id or an older base
	// they are not looked at, and the stored result or the conflict answers.
	if !known && base == tree.Version() {
		change.Ops, err = settings.ParseDocument(fileName(c), body, tree)
		if err != nil {
			return nil, invalid(err.Error())
		}
		if len(change.Ops) == 0 {
			return unchanged(tree), nil
		}
	}
	return a.propose(c, change)
}

// unchanged answers a document that the settings agree with already.
func unchanged(tree *settings.Tree) ChangeReply {
	return ChangeReply{ChangeResult: settings.ChangeResult{
		State: settings.Accepted, Version: tree.Version(), Detail: "the document changes nothing",
	}}
}

func documentParameters(c *call) (id string, base uint64, err error) {
	q := c.URL.Query()
	id = q.Get("id")
	base, parseErr := strconv.ParseUint(q.Get("base"), 10, 64)
	if id == "" || parseErr != nil {
		return "", 0, badRequest("the query parameters id and base are required; GET /v1/version gives the version to use as base")
	}
	return id, base, nil
}

func fileName(c *call) string {
	if name := c.URL.Query().Get("file"); name != "" {
		return name
	}
	return "document"
}

func (a *API) propose(c *call, change settings.Change) (any, error) {
	r, err := a.backend.Propose(c.Context(), command.Command{Change: &change})
	if err != nil {
		return nil, err
	}
	if r.Change == nil {
		return nil, badRequest("%s", r.Detail)
	}
	return changeReply(r.Change, change.Ops)
}

func changeReply(r *settings.ChangeResult, ops []settings.Op) (any, error) {
	switch r.State {
	case settings.Accepted:
		return ChangeReply{ChangeResult: *r, Ops: ops}, nil
	case settings.Conflict:
		return nil, conflict(r)
	}
	return nil, invalid(r.Detail)
}

func invalid(detail string) *problem.Problem {
	return problem.New(problem.InvalidSettings, problem.NotRun, "%s", detail)
}

func conflict(r *settings.ChangeResult) *problem.Problem {
	p := problem.New(problem.VersionConflict, problem.NotRun, "%s", r.Detail)
	if r.Winner == nil {
		return p
	}
	winner, err := json.Marshal(r.Winner)
	if err == nil {
		p.Winner = winner
	}
	return p
}

// getChange gives the stored result of a change id, as a resend would.
func (a *API) getChange(c *call) (any, error) {
	tree, _, err := a.backend.Tree(c.Context())
	if err != nil {
		return nil, err
	}
	r, ok := tree.Result(c.PathValue("id"))
	if !ok {
		return nil, problem.New(problem.NotFound, problem.NotRun, "change id %q is not known", c.PathValue("id"))
	}
	return changeReply(&r, nil)
}

// postDiff gives the operations that a document would make.
func (a *API) postDiff(c *call) (any, error) {
	body, err := c.readAll()
	if err != nil {
		return nil, err
	}
	tree, _, err := a.backend.Tree(c.Context())
	if err != nil {
		return nil, err
	}
	ops, err := settings.ParseDocument(fileName(c), body, tree)
	if err != nil {
		return nil, invalid(err.Error())
	}
	return DiffReply{Base: tree.Version(), Ops: ops}, nil
}
