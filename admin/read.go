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
	// AgeMS is how long ago the leader confirmed that no newer version had been
	// accepted, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// EffectiveValue is the value of one key at a branch, with its origin and unit.
type EffectiveValue struct {
	Key settings.Key `json:"key"`
	settings.EffectiveValue
	Unit settings.Unit `json:"unit"`
}

// EffectiveReply is the reply to GET /v1/effective.
type EffectiveReply struct {
	Branch  string `json:"branch"`
	Version uint64 `json:"version"`
	// AgeMS is as in VersionReply.
	AgeMS  int64            `json:"age_ms"`
	Values []EffectiveValue `json:"values"`
}

// HistoryReply is the reply to GET /v1/history, newest change first.
type HistoryReply struct {
	Changes []settings.Change `json:"changes"`
	// Before is the query parameter before of the next page, which holds older
	// changes; 0 at the end of the history.
	Before uint64 `json:"before"`
}

// InEffectReply is the reply to GET /v1/in-effect.
type InEffectReply struct {
	// Done reports whether the requested version is in effect.
	Done bool `json:"done"`
	// InEffect is the newest version that is in effect on every entry VM.
	InEffect uint64 `json:"in_effect"`
}

// DocumentReply is the reply to GET /v1/document.
type DocumentReply struct {
	Version uint64 `json:"version"`
	// Document is the YAML document that POST /v1/changes accepts with Version
	// as its base.
	Document string `json:"document"`
}

func (a *API) getDocument(req *operatorRequest) (any, error) {
	tree, _, err := a.backend.Tree(req.Context())
	if err != nil {
		return nil, err
	}
	return DocumentReply{Version: tree.Version(), Document: string(tree.Document())}, nil
}

func (a *API) getVersion(req *operatorRequest) (any, error) {
	tree, age, err := a.backend.Tree(req.Context())
	if err != nil {
		return nil, err
	}
	return VersionReply{Version: tree.Version(), AgeMS: age.Milliseconds()}, nil
}

// getEffective returns the value of the query parameter key at a branch, or the
// values of all keys if the parameter is absent.
func (a *API) getEffective(req *operatorRequest) (any, error) {
	tree, age, err := a.backend.Tree(req.Context())
	if err != nil {
		return nil, err
	}
	branch := req.URL.Query().Get("branch")
	key := settings.Key(req.URL.Query().Get("key"))
	reply := EffectiveReply{Branch: branch, Version: tree.Version(), AgeMS: age.Milliseconds()}
	for _, s := range settings.Specs() {
		if key == "" || key == s.Key {
			reply.Values = append(reply.Values, EffectiveValue{Key: s.Key, EffectiveValue: tree.Effective(branch, s.Key), Unit: s.Unit})
		}
	}
	if len(reply.Values) == 0 {
		return nil, badRequestProblem("key %q is not known; leave the parameter out for a list", key)
	}
	return reply, nil
}

func (a *API) getObject(req *operatorRequest) (any, error) {
	tree, _, err := a.backend.Tree(req.Context())
	if err != nil {
		return nil, err
	}
	name := req.PathValue("name")
	var v any
	var ok bool
	switch kind := req.PathValue("kind"); kind {
	case "pool":
		v, ok = tree.Pool(name)
	case "pipeline":
		v, ok = tree.Pipeline(name)
	case "service":
		v, ok = tree.Service(name)
	case "workspace":
		v, ok = tree.Workspace(name)
	default:
		return nil, badRequestProblem("kind %q is not known; use pool, pipeline, service or workspace", kind)
	}
	if !ok {
		return nil, problem.New(problem.NotFound, problem.NotRun, "%s %q does not exist in version %d", req.PathValue("kind"), name, tree.Version())
	}
	return v, nil
}

func (a *API) getHistory(req *operatorRequest) (any, error) {
	limit, err := intParam(req, "limit", 20, MaxHistory)
	if err != nil {
		return nil, err
	}
	before, err := intParam(req, "before", 0, 1<<62)
	if err != nil {
		return nil, err
	}
	tree, _, err := a.backend.Tree(req.Context())
	if err != nil {
		return nil, err
	}
	reply := HistoryReply{Changes: tree.History(uint64(before), int(limit))}
	if n := len(reply.Changes); n > 0 {
		reply.Before = reply.Changes[n-1].Version - 1
	}
	return reply, nil
}

// getInEffect waits up to wait_ms until a version is in effect on every entry
// VM.
func (a *API) getInEffect(req *operatorRequest) (any, error) {
	version, err := intParam(req, "version", 0, 1<<62)
	if err != nil {
		return nil, err
	}
	waitMS, err := intParam(req, "wait_ms", 0, MaxWait.Milliseconds())
	if err != nil {
		return nil, err
	}
	ctx, cancel := req.withTimeout(time.Duration(waitMS) * time.Millisecond)
	defer cancel()
	inEffect, err := a.backend.WaitInEffect(ctx, uint64(version))
	if err != nil && ctx.Err() == nil {
		return nil, err
	}
	return InEffectReply{Done: err == nil && inEffect >= uint64(version), InEffect: inEffect}, nil
}

func (a *API) getStatus(req *operatorRequest) (any, error) {
	return a.backend.Status(req.Context())
}

func (a *API) postDrain(req *operatorRequest) (any, error) {
	if err := a.backend.Drain(req.Context(), ids.VMID(req.PathValue("vm"))); err != nil {
		return nil, err
	}
	return map[string]string{"vm": req.PathValue("vm"), "state": "draining"}, nil
}

func (a *API) getAudit(req *operatorRequest) (any, error) {
	q, err := parseAuditQuery(req)
	if err != nil {
		return nil, err
	}
	reply, err := a.backend.Audit(req.Context(), q)
	if err != nil {
		return nil, err
	}
	reply.Records = slices.Clip(reply.Records)
	return reply, nil
}

// parseAuditQuery reads the query parameters of GET /v1/audit.
func parseAuditQuery(req *operatorRequest) (AuditQuery, error) {
	v := req.URL.Query()
	q := AuditQuery{Request: v.Get("request"), Workspace: v.Get("workspace"), VM: ids.VMID(v.Get("vm"))}
	limit, err := intParam(req, "limit", 100, MaxAuditLimit)
	if err != nil {
		return q, err
	}
	q.Limit = int(max(limit, 1))
	if q.From, err = timeParam(req, "from"); err != nil {
		return q, err
	}
	if q.To, err = timeParam(req, "to"); err != nil {
		return q, err
	}
	if q.Request == "" {
		return q, nil
	}
	if _, err := ids.ParseRequestID(q.Request); err != nil {
		return q, badRequestProblem("the parameter request: %v", err)
	}
	return q, nil
}

// intParam returns a query parameter from 0 to maxValue, or defaultValue if it
// is absent.
func intParam(req *operatorRequest, name string, defaultValue, maxValue int64) (int64, error) {
	text := req.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > maxValue {
		return 0, badRequestProblem("the parameter %s is %q; give a whole number from 0 to %d", name, text, maxValue)
	}
	return n, nil
}

// timeParam returns a query parameter in RFC 3339 format, or the zero time if it
// is absent.
func timeParam(req *operatorRequest, name string) (time.Time, error) {
	text := req.URL.Query().Get(name)
	if text == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, badRequestProblem("the parameter %s is %q; give a time such as 2026-01-31T08:00:00Z", name, text)
	}
	return t, nil
}
