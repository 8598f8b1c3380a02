package admin

import (
	"slices"
	"strconv"
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/settings"
)

// VersionReply is the reply to GET /v1/version.
type VersionReply struct {
	Version uint64 `json:"version"`
	// AgeMS is the age of the leader's proof that nothing newer was accepted
	// before, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// EffectiveValue is one key's value at a branch.
type EffectiveValue struct {
	Key settings.Key `json:"key"`
	settings.Origin
	Unit settings.Unit `json:"unit"`
}

// EffectiveReply is the reply to GET /v1/effective.
type EffectiveReply struct {
	Branch  string           `json:"branch"`
	Version uint64           `json:"version"`
	AgeMS   int64            `json:"age_ms"`
	Values  []EffectiveValue `json:"values"`
}

// HistoryReply is the reply to GET /v1/history, newest change first.
type HistoryReply struct {
	Changes []settings.Change `json:"changes"`
	// Before is the value of the parameter before that gives what is older;
	// 0 at the end of the history.
	Before uint64 `json:"before"`
}

// InEffectReply is the reply to GET /v1/in-effect.
type InEffectReply struct {
	// Done says whether the version that was asked for is in effect.
	Done     bool   `json:"done"`
	InEffect uint64 `json:"in_effect"`
}

// DocumentReply is the reply to GET /v1/document.
type DocumentReply struct {
	Version uint64 `json:"version"`
	// Document is YAML, as POST /v1/changes takes it with base Version.
	Document string `json:"document"`
}

func (a *API) getDocument(c *call) (any, error) {
	tree, _, err := a.backend.Tree(c.Context())
	if err != nil {
		return nil, err
	}
	return DocumentReply{Version: tree.Version(), Document: string(tree.Document())}, nil
}

func (a *API) getVersion(c *call) (any, error) {
	tree, age, err := a.backend.Tree(c.Context())
	if err != nil {
		return nil, err
	}
	return VersionReply{Version: tree.Version(), AgeMS: age.Milliseconds()}, nil
}

// getEffective gives one key, or all keys without the parameter key.
func (a *API) getEffective(c *call) (any, error) {
	tree, age, err := a.backend.Tree(c.Context())
	if err != nil {
		return nil, err
	}
	branch := c.URL.Query().Get("branch")
	key := settings.Key(c.URL.Query().Get("key"))
	reply := EffectiveReply{Branch: branch, Version: tree.Version(), AgeMS: age.Milliseconds()}
	for _, s := range settings.Specs() {
		if key == "" || key == s.Key {
			reply.Values = append(reply.Values, EffectiveValue{Key: s.Key, Origin: tree.Effective(branch, s.Key), Unit: s.Unit})
		}
	}
	if len(reply.Values) == 0 {
		return nil, badRequest("key %q is not known; leave the parameter out for a list", key)
	}
	return reply, nil
}

func (a *API) getObject(c *call) (any, error) {
	tree, _, err := a.backend.Tree(c.Context())
	if err != nil {
		return nil, err
	}
	name := c.PathValue("name")
	var v any
	var ok bool
	switch kind := c.PathValue("kind"); kind {
	case "pool":
		v, ok = tree.Pool(name)
	case "pipeline":
		v, ok = tree.Pipeline(name)
	case "service":
		v, ok = tree.Service(name)
	case "workspace":
		v, ok = tree.Workspace(name)
	default:
		return nil, badRequest("kind %q is not known; use pool, pipeline, service or workspace", kind)
	}
	if !ok {
		return nil, problem.New(problem.NotFound, problem.NotRun, "%s %q does not exist in version %d", c.PathValue("kind"), name, tree.Version())
	}
	return v, nil
}

func (a *API) getHistory(c *call) (any, error) {
	limit, err := number(c, "limit", 20, MaxHistory)
	if err != nil {
		return nil, err
	}
	before, err := number(c, "before", 0, 1<<62)
	if err != nil {
		return nil, err
	}
	tree, _, err := a.backend.Tree(c.Context())
	if err != nil {
		return nil, err
	}
	reply := HistoryReply{Changes: tree.History(uint64(before), int(limit))}
	if n := len(reply.Changes); n > 0 {
		reply.Before = reply.Changes[n-1].Version - 1
	}
	return reply, nil
}

// getInEffect waits up to wait_ms for a version to be in effect.
func (a *API) getInEffect(c *call) (any, error) {
	version, err := number(c, "version", 0, 1<<62)
	if err != nil {
		return nil, err
	}
	waitMS, err := number(c, "wait_ms", 0, MaxWait.Milliseconds())
	if err != nil {
		return nil, err
	}
	ctx, cancel := c.withWait(time.Duration(waitMS) * time.Millisecond)
	defer cancel()
	inEffect, err := a.backend.WaitInEffect(ctx, uint64(version))
	if err != nil && ctx.Err() == nil {
		return nil, err
	}
	return InEffectReply{Done: err == nil && inEffect >= uint64(version), InEffect: inEffect}, nil
}

func (a *API) getStatus(c *call) (any, error) {
	return a.backend.Status(c.Context())
}

func (a *API) postDrain(c *call) (any, error) {
	if err := a.backend.Drain(c.Context(), ids.VMID(c.PathValue("vm"))); err != nil {
		return nil, err
	}
	return map[string]string{"vm": c.PathValue("vm"), "state": "draining"}, nil
}

func (a *API) getAudit(c *call) (any, error) {
	q, err := auditQuery(c)
	if err != nil {
		return nil, err
	}
	reply, err := a.backend.Audit(c.Context(), q)
	if err != nil {
		return nil, err
	}
	reply.Records = slices.Clip(reply.Records)
	return reply, nil
}

func auditQuery(c *call) (AuditQuery, error) {
	v := c.URL.Query()
	q := AuditQuery{Request: v.Get("request"), Workspace: v.Get("workspace"), VM: ids.VMID(v.Get("vm"))}
	limit, err := number(c, "limit", 100, MaxAuditLimit)
	if err != nil {
		return q, err
	}
	q.Limit = int(max(limit, 1))
	if q.From, err = moment(c, "from"); err != nil {
		return q, err
	}
	if q.To, err = moment(c, "to"); err != nil {
		return q, err
	}
	if q.Request == "" {
		return q, nil
	}
	if _, err := ids.ParseRequestID(q.Request); err != nil {
		return q, badRequest("the parameter request: %v", err)
	}
	return q, nil
}

// number reads a query parameter from 0 to most.
func number(c *call, name string, otherwise, most int64) (int64, error) {
	text := c.URL.Query().Get(name)
	if text == "" {
		return otherwise, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > most {
		return 0, badRequest("the parameter %s is %q; give a whole number from 0 to %d", name, text, most)
	}
	return n, nil
}

// moment reads a query parameter with a time; it may be absent.
func moment(c *call, name string) (time.Time, error) {
	text := c.URL.Query().Get(name)
	if text == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, badRequest("the parameter %s is %q; give a time such as 2026-01-31T08:00:00Z", name, text)
	}
	return t, nil
}
