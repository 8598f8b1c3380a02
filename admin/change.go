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

// ChangeRequest is the JSON body of POST /v1/changes.
type ChangeRequest struct {
	// ID identifies the change, so that it can be sent again.
	ID string `json:"id"`
	// Base is the version that the change was made on. It is required, since a
	// change without it could overwrite a concurrent one.
	Base *uint64       `json:"base"`
	Ops  []settings.Op `json:"ops"`
}

// ChangeReply is the reply to an accepted change.
type ChangeReply struct {
	settings.ChangeResult
	// Ops are the operations of the change, which for a document are its
	// differences from the base version. Empty if a document changes nothing and
	// for the stored result of a document or of GET /v1/changes/{id}.
	Ops []settings.Op `json:"ops,omitempty"`
}

// DiffReply is the reply to POST /v1/diff: the operations that lead from the
// version Base to the document.
type DiffReply struct {
	Base uint64        `json:"base"`
	Ops  []settings.Op `json:"ops"`
}

// postChange applies the operations of a JSON body, or a document with the
// content type application/yaml and the query parameters id, base and file.
func (a *API) postChange(req *operatorRequest) (any, error) {
	body, err := req.readBody()
	if err != nil {
		return nil, err
	}
	mediaType, _, err := mime.ParseMediaType(req.Header.Get("Content-Type"))
	if err != nil {
		return nil, badRequestProblem("the Content-Type header: %v; send application/json or application/yaml", err)
	}
	switch mediaType {
	case "application/json":
		return a.applyOps(req, body)
	case "application/yaml":
		return a.applyDocument(req, body)
	}
	return nil, badRequestProblem("the Content-Type %s is not supported; send application/json or application/yaml", mediaType)
}

func (a *API) applyOps(req *operatorRequest, body []byte) (any, error) {
	var r ChangeRequest
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&r); err != nil {
		return nil, badRequestProblem("the body: %v", err)
	}
	if r.ID == "" || r.Base == nil {
		return nil, badRequestProblem("id and base are required; GET /v1/version gives the version to use as base")
	}
	return a.propose(req, settings.Change{ID: r.ID, Operator: req.operator, Base: *r.Base, Ops: r.Ops})
}

func (a *API) applyDocument(req *operatorRequest, body []byte) (any, error) {
	id, base, err := parseDocumentParams(req)
	if err != nil {
		return nil, err
	}
	tree, _, err := a.backend.Tree(req.Context())
	if err != nil {
		return nil, err
	}
	change := settings.Change{ID: id, Operator: req.operator, Base: base}
	if base > tree.Version() {
		return nil, badRequestProblem("base %d is above the current version %d; GET /v1/version gives the version to use as base", base, tree.Version())
	}
	_, known := tree.Result(id)
	// The operations of a document depend on the settings, so they are computed
	// only if the current version is the document's base. For a known id or an
	// older base, Propose returns the stored result or a conflict without
	// reading the operations.
	if !known && base == tree.Version() {
		change.Ops, err = settings.ParseDocument(documentName(req), body, tree)
		if err != nil {
			return nil, invalidSettingsProblem(err.Error())
		}
		if len(change.Ops) == 0 {
			return unchangedReply(tree), nil
		}
	}
	return a.propose(req, change)
}

// unchangedReply returns the reply to a document that equals the current
// settings.
func unchangedReply(tree *settings.Tree) ChangeReply {
	return ChangeReply{ChangeResult: settings.ChangeResult{
		State: settings.Accepted, Version: tree.Version(), Detail: "the document changes nothing",
	}}
}

func parseDocumentParams(req *operatorRequest) (id string, base uint64, err error) {
	q := req.URL.Query()
	id = q.Get("id")
	base, parseErr := strconv.ParseUint(q.Get("base"), 10, 64)
	if id == "" || parseErr != nil {
		return "", 0, badRequestProblem("the query parameters id and base are required; GET /v1/version gives the version to use as base")
	}
	return id, base, nil
}

// documentName returns the name of the document for error messages.
func documentName(req *operatorRequest) string {
	if name := req.URL.Query().Get("file"); name != "" {
		return name
	}
	return "document"
}

func (a *API) propose(req *operatorRequest, change settings.Change) (any, error) {
	r, err := a.backend.Propose(req.Context(), command.Command{Change: &change})
	if err != nil {
		return nil, err
	}
	if r.Change == nil {
		return nil, badRequestProblem("%s", r.Detail)
	}
	return replyToChange(r.Change, change.Ops)
}

func replyToChange(r *settings.ChangeResult, ops []settings.Op) (any, error) {
	switch r.State {
	case settings.Accepted:
		return ChangeReply{ChangeResult: *r, Ops: ops}, nil
	case settings.Conflict:
		return nil, conflictProblem(r)
	}
	return nil, invalidSettingsProblem(r.Detail)
}

func invalidSettingsProblem(detail string) *problem.Problem {
	return problem.New(problem.InvalidSettings, problem.NotRun, "%s", detail)
}

func conflictProblem(r *settings.ChangeResult) *problem.Problem {
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

// getChange returns the stored result of a change id, as sending the change
// again does.
func (a *API) getChange(req *operatorRequest) (any, error) {
	tree, _, err := a.backend.Tree(req.Context())
	if err != nil {
		return nil, err
	}
	r, ok := tree.Result(req.PathValue("id"))
	if !ok {
		return nil, problem.New(problem.NotFound, problem.NotRun, "change id %q is not known", req.PathValue("id"))
	}
	return replyToChange(&r, nil)
}

// postDiff returns the operations that applying a document would make.
func (a *API) postDiff(req *operatorRequest) (any, error) {
	body, err := req.readBody()
	if err != nil {
		return nil, err
	}
	tree, _, err := a.backend.Tree(req.Context())
	if err != nil {
		return nil, err
	}
	ops, err := settings.ParseDocument(documentName(req), body, tree)
	if err != nil {
		return nil, invalidSettingsProblem(err.Error())
	}
	return DiffReply{Base: tree.Version(), Ops: ops}, nil
}
