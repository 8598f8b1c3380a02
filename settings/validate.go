package settings

import (
	"encoding/hex"
	"slices"
	"strings"
)

const (
	maxNameBytes = 64
	maxPathDepth = 8
	// maxListedReferrers is the number of referrers that a violation lists.
	maxListedReferrers = 3

	nameRemedy = "use 1 to 64 letters, digits, '.', '_' or '-'"
	pathRemedy = "use up to 8 names separated by '/', each of 1 to 64 letters, digits, '.', '_' or '-'"
)

// orderedKeys is a pair of keys for which the effective value of low must not
// exceed that of high.
type orderedKeys struct{ low, high Key }

var keyOrders = []orderedKeys{
	{DeadlineDefault, DeadlineMax},
	{AdmissionMinLimit, AdmissionMaxLimit},
	// A stored response must not be replayed after the audit records of its
	// request have been removed.
	{AnswerRetention, AuditRetention},
}

// Validate checks the whole tree. Trees that Apply returns are always valid, so
// Validate is for trees from other sources and for tests.
func (t *Tree) Validate() error {
	e := &editor{
		tree: t, version: t.version,
		touchedPools: nameSet(t.pools), touchedPipelines: nameSet(t.pipelines), touchedServices: nameSet(t.services),
		touchedWorkspaces: nameSet(t.workspaces), touchedBranches: map[string]bool{"": true},
	}
	t.root.walk("", func(path string, b *branch) { e.checkValues(path, b) })
	e.validate(t)
	if len(e.violations) > 0 {
		return e.violations
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

func (e *editor) checkValues(path string, b *branch) {
	for _, s := range b.values {
		spec, ok := specs[s.key]
		if !ok {
			e.violations.add(branchSubject(path), string(s.key), "unset it", "the key is not known")
			continue
		}
		if _, err := spec.parse(s.value); err != nil {
			e.violations.add(branchSubject(path), string(s.key), "correct the value", "%v", err)
		}
		if spec.RootOnly && path != "" {
			e.violations.add(branchSubject(path), string(s.key), "set it on the root branch", "the key holds for the whole system")
		}
	}
}

// validate checks the resources and branches that the operations touched.
// before is the tree before the operations.
func (e *editor) validate(before *Tree) {
	for _, name := range sortedNames(e.touchedPools) {
		e.checkPool(name, before)
	}
	for _, name := range sortedNames(e.touchedPipelines) {
		e.checkPipeline(name)
	}
	for _, name := range sortedNames(e.touchedServices) {
		e.checkService(name)
	}
	for _, name := range sortedNames(e.touchedWorkspaces) {
		e.checkWorkspace(name)
	}
	for _, path := range sortedNames(e.touchedBranches) {
		e.checkKeyOrder(path)
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

func (e *editor) checkPool(name string, before *Tree) {
	p, ok := e.tree.pools.get(name)
	if !ok {
		e.checkUnreferenced("pool", name)
		return
	}
	subject := resourceSubject("pool", name)
	e.checkName(subject, name)
	if !isKnownKind(p.Kind) {
		e.violations.add(subject, "kind", "use encode, retrieve, rerank, generate or service", "kind %q is not known", p.Kind)
	}
	old, ok := before.pools.get(name)
	if ok && old.Kind == p.Kind {
		return
	}
	// The pool is new or its kind has changed, possibly by a deletion and a put
	// in the same change, so its referrers have to be checked as well.
	e.touchPoolReferrers(name)
}

// touchPoolReferrers marks the pipelines and services that use the pool as
// touched. They are validated after the pools.
func (e *editor) touchPoolReferrers(pool string) {
	if n, _ := e.tree.refCounts.get(refKey("pool", pool)); n == 0 {
		return
	}
	e.tree.pipelines.each(func(name string, p *Pipeline) bool {
		if slices.ContainsFunc(p.Stages, func(s Stage) bool { return s.Pool == pool }) {
			e.touchedPipelines[name] = true
		}
		return true
	})
	e.tree.services.each(func(name string, s *Service) bool {
		if s.Pool == pool {
			e.touchedServices[name] = true
		}
		return true
	})
}

func (e *editor) checkPipeline(name string) {
	p, ok := e.tree.pipelines.get(name)
	if !ok {
		e.checkUnreferenced("pipeline", name)
		return
	}
	subject := resourceSubject("pipeline", name)
	e.checkName(subject, name)
	if len(p.Stages) == 0 {
		e.violations.add(subject, "stages", "give at least one stage", "it has no stage")
	}
	seen := map[string]bool{}
	for i := range p.Stages {
		s := &p.Stages[i]
		if seen[s.Name] {
			e.violations.add(subject, "stages", "give each stage its own name", "two stages are named %q", s.Name)
		}
		seen[s.Name] = true
		e.checkStage(subject, s, i == len(p.Stages)-1)
	}
}

func (e *editor) checkStage(subject string, s *Stage, last bool) {
	key := "stage " + s.Name
	e.checkName(subject+", stage", s.Name)
	if !isKnownKind(s.Kind) || s.Kind == KindService {
		e.violations.add(subject, key, "use encode, retrieve, rerank or generate", "kind %q is not a kind of stage", s.Kind)
		return
	}
	if s.Kind == KindGenerate && !last {
		e.violations.add(subject, key, "make it the last stage", "only the last stage may generate")
	}
	if s.Kind == KindGenerate && s.Model == "" {
		e.violations.add(subject, key, "name the model", "a generate stage has no model")
	}
	if s.Kind != KindGenerate && (s.Model != "" || s.Adapter != "") {
		e.violations.add(subject, key, "remove model and adapter", "only a generate stage has a model")
	}
	e.checkPoolKind(subject, key, s.Pool, s.Kind)
}

func (e *editor) checkPoolKind(subject, key, pool string, kind StageKind) {
	p, ok := e.tree.pools.get(pool)
	if !ok {
		e.violations.add(subject, key, "put the pool first or name another one", "pool %q does not exist", pool)
		return
	}
	if p.Kind != kind {
		e.violations.add(subject, key, "name a pool of that kind", "pool %q is of kind %s and kind %s is needed", pool, p.Kind, kind)
	}
}

func (e *editor) checkService(name string) {
	s, ok := e.tree.services.get(name)
	if !ok {
		e.checkUnreferenced("service", name)
		return
	}
	subject := resourceSubject("service", name)
	e.checkName(subject, name)
	for _, op := range s.RepeatableOps {
		e.checkName(subject+", repeatable_ops", op)
	}
	e.checkPoolKind(subject, "pool", s.Pool, KindService)
}

func (e *editor) checkWorkspace(name string) {
	w, ok := e.tree.workspaces.get(name)
	if !ok {
		return
	}
	subject := resourceSubject("workspace", name)
	e.checkName(subject, name)
	if !validPath(w.Branch) {
		e.violations.add(subject, "branch", pathRemedy, "the path is not valid")
	}
	e.checkTokens(subject, w)
	e.checkReferences(subject, "pipelines", w.Pipelines, func(n string) bool { _, ok := e.tree.pipelines.get(n); return ok })
	e.checkReferences(subject, "services", w.Services, func(n string) bool { _, ok := e.tree.services.get(n); return ok })
}

// checkTokens validates the token digests and checks that they belong to this
// workspace only, since a token has to identify one workspace.
func (e *editor) checkTokens(subject string, w *Workspace) {
	for i, d := range w.TokenSHA256 {
		if owner, ok := e.tree.tokens.get(d); !ok || owner != w.Name {
			e.violations.add(subject, "token_sha256", "give each workspace its own tokens", "digest %s belongs to workspace %q", d, owner)
		}
		raw, err := hex.DecodeString(d)
		if err != nil || len(raw) != 32 || d != strings.ToLower(d) {
			e.violations.add(subject, "token_sha256", "give the SHA-256 digest of the token as 64 lower-case hex digits", "%q is not a digest", d)
		}
		if slices.Contains(w.TokenSHA256[:i], d) {
			e.violations.add(subject, "token_sha256", "list it once", "digest %s is listed twice", d)
		}
	}
}

func (e *editor) checkReferences(subject, key string, names []string, exists func(string) bool) {
	for i, n := range names {
		if !exists(n) {
			e.violations.add(subject, key, "put it first or remove the binding", "%q does not exist", n)
		}
		if slices.Contains(names[:i], n) {
			e.violations.add(subject, key, "list it once", "%q is listed twice", n)
		}
	}
}

// checkUnreferenced adds a violation if a deleted resource is still referenced.
func (e *editor) checkUnreferenced(kind, name string) {
	n, _ := e.tree.refCounts.get(refKey(kind, name))
	if n == 0 {
		return
	}
	e.violations.add(resourceSubject(kind, name), "", "remove these bindings first, in the same change if wanted", "it cannot be deleted while %d bindings name it, among them %s", n, strings.Join(e.referrers(kind, name), ", "))
}

// referrers returns up to maxListedReferrers resources that reference the given
// one.
func (e *editor) referrers(kind, name string) []string {
	var names []string
	add := func(kind, referrer string, references bool) {
		if references {
			names = append(names, resourceSubject(kind, referrer))
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
	if len(names) > maxListedReferrers {
		names = names[:maxListedReferrers]
	}
	return names
}

// checkKeyOrder checks keyOrders at path and below it. Values above path have
// not changed.
func (e *editor) checkKeyOrder(path string) {
	b := e.tree.root.at(path)
	if b == nil {
		return
	}
	for _, p := range keyOrders {
		low := e.tree.parsedValue(path, specs[p.low])
		high := e.tree.parsedValue(path, specs[p.high])
		e.checkKeyOrderBelow(p, path, b, low, high, true)
	}
}

// checkKeyOrderBelow checks p at path and on the branches below it. low and high
// are the effective values at path's parent, or at path itself if isStart is
// set. A branch other than the start is checked only if it sets one of the keys.
func (e *editor) checkKeyOrderBelow(p orderedKeys, path string, b *branch, low, high int64, isStart bool) {
	l, setsLow := b.find(p.low)
	if setsLow {
		low = l.parsed
	}
	h, setsHigh := b.find(p.high)
	if setsHigh {
		high = h.parsed
	}
	if (isStart || setsLow || setsHigh) && low > high {
		e.violations.add(branchSubject(path), string(p.low), "lower it or raise "+string(p.high),
			"%s is above %s %s", specs[p.low].format(low), p.high, specs[p.high].format(high))
		return
	}
	b.children.each(func(name string, child *branch) bool {
		e.checkKeyOrderBelow(p, ChildBranch(path, name), child, low, high, false)
		return true
	})
}

func (e *editor) checkName(subject, name string) {
	if !validName(name) {
		e.violations.add(subject, "name", nameRemedy, "%q is not a valid name", name)
	}
}

func isKnownKind(k StageKind) bool {
	switch k {
	case KindEncode, KindRetrieve, KindRerank, KindGenerate, KindService:
		return true
	}
	return false
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for i := range len(name) {
		if !isNameByte(name[i]) {
			return false
		}
	}
	return true
}

func isNameByte(c byte) bool {
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
