package settings

import (
	"encoding/hex"
	"slices"
	"strings"
)

const (
	maxNameBytes = 64
	maxPathDepth = 8
	// maxNamed is the number of users that a fault names.
	maxNamed = 3

	nameRemedy = "use 1 to 64 letters, digits, '.', '_' or '-'"
	pathRemedy = "use up to 8 names separated by '/', each of 1 to 64 letters, digits, '.', '_' or '-'"
)

// pair is two keys of which the first must not exceed the second.
type pair struct{ low, high Key }

var pairs = []pair{
	{DeadlineDefault, DeadlineMax},
	{AdmissionMinLimit, AdmissionMaxLimit},
	// An answer is not given again once the records of its request are gone.
	{AnswerRetention, AuditRetention},
}

// Validate checks the whole tree from scratch. Apply keeps every tree valid,
// so this is for trees from elsewhere and for tests.
func (t *Tree) Validate() error {
	e := &edit{
		tree: t, version: t.version,
		pools: nameSet(t.pools), pipelines: nameSet(t.pipelines), services: nameSet(t.services),
		workspaces: nameSet(t.workspaces), values: map[string]bool{"": true},
	}
	t.root.walk("", func(path string, b *branch) { e.checkValues(path, b) })
	e.check(t)
	if len(e.faults) > 0 {
		return e.faults
	}
	return nil
}

func nameSet[T any](t trie[*T]) map[string]bool {
	set := make(map[string]bool, t.size)
	t.each(func(name string, _ *T) bool {
		set[name] = true
		return true
	})
	return set
}

func (e *edit) checkValues(path string, b *branch) {
	for _, s := range b.values {
		k, ok := specs[s.key]
		if !ok {
			e.faults.add(branchSubject(path), string(s.key), "unset it", "the key is not known")
			continue
		}
		if _, err := k.parse(s.value); err != nil {
			e.faults.add(branchSubject(path), string(s.key), "correct the value", "%v", err)
		}
		if k.RootOnly && path != "" {
			e.faults.add(branchSubject(path), string(s.key), "set it on the root branch", "the key holds for the whole system")
		}
	}
}

// check validates what the operations touched. before is the tree before them.
func (e *edit) check(before *Tree) {
	for _, name := range sortedNames(e.pools) {
		e.checkPool(name, before)
	}
	for _, name := range sortedNames(e.pipelines) {
		e.checkPipeline(name)
	}
	for _, name := range sortedNames(e.services) {
		e.checkService(name)
	}
	for _, name := range sortedNames(e.workspaces) {
		e.checkWorkspace(name)
	}
	for _, path := range sortedNames(e.values) {
		e.checkPairs(path)
	}
}

func sortedNames(set map[string]bool) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (e *edit) checkPool(name string, before *Tree) {
	p, ok := e.tree.pools.get(name)
	if !ok {
		e.checkUnused("pool", name)
		return
	}
	where := subject("pool", name)
	e.checkName(where, name)
	if !knownKind(p.Kind) {
		e.faults.add(where, "kind", "use encode, retrieve, rerank, generate or service", "kind %q is not known", p.Kind)
	}
	old, ok := before.pools.get(name)
	if ok && old.Kind == p.Kind {
		return
	}
	// With another kind, or after a deletion in the same change, the stages
	// and services that name the pool need another look.
	e.markPoolUsers(name)
}

// markPoolUsers adds the pipelines and services that name the pool to what is
// checked after the pools.
func (e *edit) markPoolUsers(pool string) {
	if n, _ := e.tree.uses.get(useKey("pool", pool)); n == 0 {
		return
	}
	e.tree.pipelines.each(func(name string, p *Pipeline) bool {
		if slices.ContainsFunc(p.Stages, func(s Stage) bool { return s.Pool == pool }) {
			e.pipelines[name] = true
		}
		return true
	})
	e.tree.services.each(func(name string, s *Service) bool {
		if s.Pool == pool {
			e.services[name] = true
		}
		return true
	})
}

func (e *edit) checkPipeline(name string) {
	p, ok := e.tree.pipelines.get(name)
	if !ok {
		e.checkUnused("pipeline", name)
		return
	}
	where := subject("pipeline", name)
	e.checkName(where, name)
	if len(p.Stages) == 0 {
		e.faults.add(where, "stages", "give at least one stage", "it has no stage")
	}
	seen := map[string]bool{}
	for i := range p.Stages {
		s := &p.Stages[i]
		if seen[s.Name] {
			e.faults.add(where, "stages", "give each stage its own name", "two stages are named %q", s.Name)
		}
		seen[s.Name] = true
		e.checkStage(where, s, i == len(p.Stages)-1)
	}
}

func (e *edit) checkStage(where string, s *Stage, last bool) {
	key := "stage " + s.Name
	e.checkName(where+", stage", s.Name)
	if !knownKind(s.Kind) || s.Kind == Plain {
		e.faults.add(where, key, "use encode, retrieve, rerank or generate", "kind %q is not a kind of stage", s.Kind)
		return
	}
	if s.Kind == Generate && !last {
		e.faults.add(where, key, "make it the last stage", "only the last stage may generate")
	}
	if s.Kind == Generate && s.Model == "" {
		e.faults.add(where, key, "name the model", "a generate stage has no model")
	}
	if s.Kind != Generate && (s.Model != "" || s.Adapter != "") {
		e.faults.add(where, key, "remove model and adapter", "only a generate stage has a model")
	}
	e.checkPoolKind(where, key, s.Pool, s.Kind)
}

func (e *edit) checkPoolKind(where, key, pool string, kind StageKind) {
	p, ok := e.tree.pools.get(pool)
	if !ok {
		e.faults.add(where, key, "put the pool first or name another one", "pool %q does not exist", pool)
		return
	}
	if p.Kind != kind {
		e.faults.add(where, key, "name a pool of that kind", "pool %q is of kind %s and kind %s is needed", pool, p.Kind, kind)
	}
}

func (e *edit) checkService(name string) {
	s, ok := e.tree.services.get(name)
	if !ok {
		e.checkUnused("service", name)
		return
	}
	where := subject("service", name)
	e.checkName(where, name)
	for _, op := range s.RepeatableOps {
		e.checkName(where+", repeatable_ops", op)
	}
	e.checkPoolKind(where, "pool", s.Pool, Plain)
}

func (e *edit) checkWorkspace(name string) {
	w, ok := e.tree.workspaces.get(name)
	if !ok {
		return
	}
	where := subject("workspace", name)
	e.checkName(where, name)
	if !validPath(w.Branch) {
		e.faults.add(where, "branch", pathRemedy, "the path is not valid")
	}
	e.checkTokens(where, w)
	e.checkBound(where, "pipelines", w.Pipelines, func(n string) bool { _, ok := e.tree.pipelines.get(n); return ok })
	e.checkBound(where, "services", w.Services, func(n string) bool { _, ok := e.tree.services.get(n); return ok })
}

// checkTokens requires that each digest leads to this workspace: a token that
// two workspaces share would name two callers.
func (e *edit) checkTokens(where string, w *Workspace) {
	for i, d := range w.TokenSHA256 {
		if owner, ok := e.tree.tokens.get(d); !ok || owner != w.Name {
			e.faults.add(where, "token_sha256", "give each workspace its own tokens", "digest %s belongs to workspace %q", d, owner)
		}
		raw, err := hex.DecodeString(d)
		if err != nil || len(raw) != 32 || d != strings.ToLower(d) {
			e.faults.add(where, "token_sha256", "give the SHA-256 digest of the token as 64 lower-case hex digits", "%q is not a digest", d)
		}
		if slices.Contains(w.TokenSHA256[:i], d) {
			e.faults.add(where, "token_sha256", "list it once", "digest %s is listed twice", d)
		}
	}
}

func (e *edit) checkBound(where, key string, names []string, exists func(string) bool) {
	for i, n := range names {
		if !exists(n) {
			e.faults.add(where, key, "put it first or remove the binding", "%q does not exist", n)
		}
		if slices.Contains(names[:i], n) {
			e.faults.add(where, key, "list it once", "%q is listed twice", n)
		}
	}
}

// checkUnused reports a deleted resource that is still bound.
func (e *edit) checkUnused(kind, name string) {
	n, _ := e.tree.uses.get(useKey(kind, name))
	if n == 0 {
		return
	}
	e.faults.add(subject(kind, name), "", "remove these bindings first, in the same change if wanted", "it cannot be deleted while %d bindings name it, among them %s", n, strings.Join(e.users(kind, name), ", "))
}

// users names some of the resources that are bound to one.
func (e *edit) users(kind, name string) []string {
	var names []string
	add := func(kind, user string, bound bool) {
		if bound {
			names = append(names, subject(kind, user))
		}
	}
	switch kind {
	case "pool":
		for _, p := range e.tree.Pipelines() {
			add("pipeline", p.Name, slices.ContainsFunc(p.Stages, func(s Stage) bool { return s.Pool == name }))
		}
		for _, s := range e.tree.Services() {
			add("service", s.Name, s.Pool == name)
		}
	case "pipeline":
		for _, w := range e.tree.Workspaces() {
			add("workspace", w.Name, slices.Contains(w.Pipelines, name))
		}
	case "service":
		for _, w := range e.tree.Workspaces() {
			add("workspace", w.Name, slices.Contains(w.Services, name))
		}
	}
	if len(names) > maxNamed {
		names = names[:maxNamed]
	}
	return names
}

// checkPairs looks for contradictions at path and below it. Above it nothing
// has changed.
func (e *edit) checkPairs(path string) {
	b := e.tree.root.at(path)
	if b == nil {
		return
	}
	for _, p := range pairs {
		low := e.tree.number(path, specs[p.low])
		high := e.tree.number(path, specs[p.high])
		e.checkPairAt(p, path, b, low, high, true)
	}
}

func (e *edit) checkPairAt(p pair, path string, b *branch, low, high int64, here bool) {
	l, setsLow := b.find(p.low)
	if setsLow {
		low = l.number
	}
	h, setsHigh := b.find(p.high)
	if setsHigh {
		high = h.number
	}
	if (here || setsLow || setsHigh) && low > high {
		e.faults.add(branchSubject(path), string(p.low), "lower it or raise "+string(p.high),
			"%s is above %s %s", specs[p.low].format(low), p.high, specs[p.high].format(high))
		return
	}
	b.children.each(func(name string, child *branch) bool {
		e.checkPairAt(p, ChildBranch(path, name), child, low, high, false)
		return true
	})
}

func (e *edit) checkName(where, name string) {
	if !validName(name) {
		e.faults.add(where, "name", nameRemedy, "%q is not a valid name", name)
	}
}

func knownKind(k StageKind) bool {
	switch k {
	case Encode, Retrieve, Rerank, Generate, Plain:
		return true
	}
	return false
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for i := range len(name) {
		if !nameByte(name[i]) {
			return false
		}
	}
	return true
}

func nameByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	case c == '.', c == '_', c == '-':
		return true
	}
	return false
}

func validPath(path string) bool {
	if path == "" {
		return true
	}
	names := strings.Split(path, "/")
	if len(names) > maxPathDepth {
		return false
	}
	return !slices.ContainsFunc(names, func(n string) bool { return !validName(n) })
}
