package settings

// editor applies operations to a copy of a tree and records which resources and
// branches have to be validated afterwards.
type editor struct {
	tree       *Tree
	version    uint64
	violations Violations

	touchedPools, touchedPipelines, touchedServices, touchedWorkspaces map[string]bool
	// touchedBranches are the branches below which values may now violate
	// keyOrders.
	touchedBranches map[string]bool
}

// applyOps applies ops in order and returns the tree with the given version. If
// validate is set, it also validates the resulting tree; only resources and
// branches that ops touch can have become invalid, so only those are checked.
func (t *Tree) applyOps(ops []Op, version uint64, validate bool) (*Tree, Violations) {
	out := *t
	out.version = version
	out.encoded = &encodingCache{}
	e := &editor{
		tree: &out, version: version,
		touchedPools: map[string]bool{}, touchedPipelines: map[string]bool{}, touchedServices: map[string]bool{},
		touchedWorkspaces: map[string]bool{}, touchedBranches: map[string]bool{},
	}
	if validate && len(ops) == 0 {
		e.violations.add("change", "ops", "give at least one operation", "it has no operation")
	}
	for i := range ops {
		e.apply(&ops[i], validate)
	}
	if validate && len(e.violations) == 0 {
		e.validate(t)
	}
	return e.tree, e.violations
}

func (e *editor) apply(op *Op, validate bool) {
	switch op.Kind {
	case SetValue:
		e.set(op, validate)
	case UnsetValue:
		e.unset(op)
	case PutPool:
		e.putPool(op.Pool)
	case DeletePool:
		e.deletePool(op.Name)
	case PutPipeline:
		e.putPipeline(op.Pipeline)
	case DeletePipeline:
		e.deletePipeline(op.Name)
	case PutService:
		e.putService(op.Service)
	case DeleteService:
		e.deleteService(op.Name)
	case PutWorkspace:
		e.putWorkspace(op.Workspace)
	case DeleteWorkspace:
		e.deleteWorkspace(op.Name)
	default:
		e.violations.add(resourceSubject("operation", string(op.Kind)), "kind", "use one of the kinds in docs/api.md", "the kind is not known")
	}
}

func (e *editor) set(op *Op, validate bool) {
	subject := branchSubject(op.Branch)
	if !validPath(op.Branch) {
		e.violations.add(subject, "branch", pathRemedy, "the path is not valid")
		return
	}
	s := setting{key: op.Key, value: op.Value, version: e.version}
	spec := specs[op.Key]
	if spec != nil {
		parsed, err := spec.parseValue(op.Value, validate)
		if err != nil {
			e.violations.add(subject, string(op.Key), "correct the value", "%v", err)
			return
		}
		s.parsed = parsed
	}
	if validate && !e.checkSettable(op, spec, subject) {
		return
	}
	e.tree.root = e.tree.root.with(op.Branch, func(b *branch) *branch { return b.set(s) })
	e.touchedBranches[op.Branch] = true
}

// checkSettable reports whether op.Key may be set on op.Branch, independent of
// the value, and adds a violation if not. spec is nil for an unknown key.
func (e *editor) checkSettable(op *Op, spec *parsedSpec, subject string) bool {
	if spec == nil {
		e.violations.add(subject, string(op.Key), "use a key that 'damaskctl get -keys' lists", "the key is not known")
		return false
	}
	if spec.RootOnly && op.Branch != "" {
		e.violations.add(subject, string(op.Key), "set it on the root branch", "the key holds for the whole system")
		return false
	}
	return e.checkGroupCount(op.Key, subject)
}

// checkGroupCount reports whether the change may set or unset key, and adds a
// violation if not. Only the first change may set ledger.groups: a claim is
// looked up in the ledger group of its key, so a different number of groups
// would hide existing claims and a repeated request could run twice.
func (e *editor) checkGroupCount(key Key, subject string) bool {
	if key != LedgerGroups || e.version == 1 {
		return true
	}
	e.violations.add(subject, string(key), "leave it as it is", "the number of groups is fixed by the first change")
	return false
}

func (e *editor) unset(op *Op) {
	subject := branchSubject(op.Branch)
	b := e.tree.root.at(op.Branch)
	if b == nil {
		e.violations.add(subject, string(op.Key), "remove the operation", "the branch sets no value")
		return
	}
	if _, ok := b.find(op.Key); !ok {
		e.violations.add(subject, string(op.Key), "remove the operation", "the branch does not set the key")
		return
	}
	if !e.checkGroupCount(op.Key, subject) {
		return
	}
	e.tree.root = e.tree.root.with(op.Branch, func(b *branch) *branch { return b.unset(op.Key) })
	e.touchedBranches[op.Branch] = true
}

func (e *editor) putPool(p *Pool) {
	if p == nil {
		e.addMissingResource(PutPool)
		return
	}
	e.tree.pools = e.tree.pools.put(p.Name, p)
	e.touchedPools[p.Name] = true
}

func (e *editor) deletePool(name string) {
	if _, ok := e.tree.pools.get(name); !ok {
		e.addNotFound("pool", name)
		return
	}
	e.tree.pools = e.tree.pools.remove(name)
	e.touchedPools[name] = true
}

func (e *editor) putPipeline(p *Pipeline) {
	if p == nil {
		e.addMissingResource(PutPipeline)
		return
	}
	if old, ok := e.tree.pipelines.get(p.Name); ok {
		e.addPipelineRefs(old, -1)
	}
	e.addPipelineRefs(p, 1)
	e.tree.pipelines = e.tree.pipelines.put(p.Name, p)
	e.touchedPipelines[p.Name] = true
}

func (e *editor) deletePipeline(name string) {
	old, ok := e.tree.pipelines.get(name)
	if !ok {
		e.addNotFound("pipeline", name)
		return
	}
	e.addPipelineRefs(old, -1)
	e.tree.pipelines = e.tree.pipelines.remove(name)
	e.touchedPipelines[name] = true
}

func (e *editor) putService(s *Service) {
	if s == nil {
		e.addMissingResource(PutService)
		return
	}
	if old, ok := e.tree.services.get(s.Name); ok {
		e.addRefs("pool", old.Pool, -1)
	}
	e.addRefs("pool", s.Pool, 1)
	e.tree.services = e.tree.services.put(s.Name, s)
	e.touchedServices[s.Name] = true
}

func (e *editor) deleteService(name string) {
	old, ok := e.tree.services.get(name)
	if !ok {
		e.addNotFound("service", name)
		return
	}
	e.addRefs("pool", old.Pool, -1)
	e.tree.services = e.tree.services.remove(name)
	e.touchedServices[name] = true
}

func (e *editor) putWorkspace(w *Workspace) {
	if w == nil {
		e.addMissingResource(PutWorkspace)
		return
	}
	if old, ok := e.tree.workspaces.get(w.Name); ok {
		e.addWorkspaceRefs(old, -1)
		e.unindexTokens(old)
	}
	e.addWorkspaceRefs(w, 1)
	e.indexTokens(w)
	e.tree.workspaces = e.tree.workspaces.put(w.Name, w)
	e.touchedWorkspaces[w.Name] = true
}

func (e *editor) deleteWorkspace(name string) {
	old, ok := e.tree.workspaces.get(name)
	if !ok {
		e.addNotFound("workspace", name)
		return
	}
	e.addWorkspaceRefs(old, -1)
	e.unindexTokens(old)
	e.tree.workspaces = e.tree.workspaces.remove(name)
	e.touchedWorkspaces[name] = true
}

// indexTokens adds the workspace's token digests to the index. A digest that
// belongs to another workspace is reassigned. Validation then reports the
// conflict, unless a later operation of the same change removes the digest
// from the other workspace.
func (e *editor) indexTokens(w *Workspace) {
	for _, digest := range w.TokenSHA256 {
		if other, ok := e.tree.tokens.get(digest); ok {
			e.touchedWorkspaces[other] = true
		}
		e.tree.tokens = e.tree.tokens.put(digest, w.Name)
	}
}

func (e *editor) unindexTokens(w *Workspace) {
	for _, digest := range w.TokenSHA256 {
		if owner, ok := e.tree.tokens.get(digest); ok && owner == w.Name {
			e.tree.tokens = e.tree.tokens.remove(digest)
		}
	}
}

func (e *editor) addPipelineRefs(p *Pipeline, by int) {
	for _, s := range p.Stages {
		e.addRefs("pool", s.Pool, by)
	}
}

func (e *editor) addWorkspaceRefs(w *Workspace, by int) {
	for _, name := range w.Pipelines {
		e.addRefs("pipeline", name, by)
	}
	for _, name := range w.Services {
		e.addRefs("service", name, by)
	}
}

func (e *editor) addRefs(kind, name string, by int) {
	key := refKey(kind, name)
	n, _ := e.tree.refCounts.get(key)
	if n+by == 0 {
		e.tree.refCounts = e.tree.refCounts.remove(key)
		return
	}
	e.tree.refCounts = e.tree.refCounts.put(key, n+by)
}

func refKey(kind, name string) string { return kind + "/" + name }

func (e *editor) addNotFound(kind, name string) {
	e.violations.add(resourceSubject(kind, name), "", "remove the operation or correct the name", "it does not exist")
}

func (e *editor) addMissingResource(kind OpKind) {
	e.violations.add(resourceSubject("operation", string(kind)), "", "give the resource that the operation puts", "it has no resource")
}
