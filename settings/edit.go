package settings

// edit is a tree under change with the names that need validation afterwards.
type edit struct {
	tree    *Tree
	version uint64
	faults  Faults

	pools, pipelines, services, workspaces map[string]bool
	// values lists the branches whose paired values may contradict now.
	values map[string]bool
}

// edit applies ops in order and gives the tree at version. With check, the
// result is validated as a whole; only what the ops touch can have become
// invalid, so only that is looked at.
func (t *Tree) edit(ops []Op, version uint64, check bool) (*Tree, Faults) {
	out := *t
	out.version = version
	out.encoded = &encoding{}
	e := &edit{
		tree: &out, version: version,
		pools: map[string]bool{}, pipelines: map[string]bool{}, services: map[string]bool{},
		workspaces: map[string]bool{}, values: map[string]bool{},
	}
	if check && len(ops) == 0 {
		e.faults.add("change", "ops", "give at least one operation", "it has no operation")
	}
	for i := range ops {
		e.apply(&ops[i], check)
	}
	if check && len(e.faults) == 0 {
		e.check(t)
	}
	return e.tree, e.faults
}

func (e *edit) apply(op *Op, check bool) {
	switch op.Kind {
	case SetValue:
		e.set(op, check)
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
		e.faults.add(subject("operation", string(op.Kind)), "kind", "use one of the kinds in docs/api.md", "the kind is not known")
	}
}

func (e *edit) set(op *Op, check bool) {
	where := branchSubject(op.Branch)
	if !validPath(op.Branch) {
		e.faults.add(where, "branch", pathRemedy, "the path is not valid")
		return
	}
	s := setting{key: op.Key, value: op.Value, version: e.version}
	k := specs[op.Key]
	if k != nil {
		number, err := k.accept(op.Value, check)
		if err != nil {
			e.faults.add(where, string(op.Key), "correct the value", "%v", err)
			return
		}
		s.number = number
	}
	if check && !e.maySet(op, k, where) {
		return
	}
	e.tree.root = e.tree.root.with(op.Branch, func(b *branch) *branch { return b.set(s) })
	e.values[op.Branch] = true
}

// maySet checks the rules that do not depend on the value itself.
func (e *edit) maySet(op *Op, k *known, where string) bool {
	if k == nil {
		e.faults.add(where, string(op.Key), "use a key that 'damaskctl get -keys' lists", "the key is not known")
		return false
	}
	if k.RootOnly && op.Branch != "" {
		e.faults.add(where, string(op.Key), "set it on the root branch", "the key holds for the whole system")
		return false
	}
	return e.mayMoveGroups(op.Key, where)
}

// mayMoveGroups guards ledger.groups. A claim is looked up in the group of its
// key, so another number of groups would hide existing claims and a repeated
// request could run twice. Only the first change may set it.
func (e *edit) mayMoveGroups(key Key, where string) bool {
	if key != LedgerGroups || e.version == 1 {
		return true
	}
	e.faults.add(where, string(key), "leave it as it is", "the number of groups is fixed by the first change")
	return false
}

func (e *edit) unset(op *Op) {
	where := branchSubject(op.Branch)
	b := e.tree.root.at(op.Branch)
	if b == nil {
		e.faults.add(where, string(op.Key), "remove the operation", "the branch sets no value")
		return
	}
	if _, ok := b.find(op.Key); !ok {
		e.faults.add(where, string(op.Key), "remove the operation", "the branch does not set the key")
		return
	}
	if !e.mayMoveGroups(op.Key, where) {
		return
	}
	e.tree.root = e.tree.root.with(op.Branch, func(b *branch) *branch { return b.unset(op.Key) })
	e.values[op.Branch] = true
}

func (e *edit) putPool(p *Pool) {
	if p == nil {
		e.missingBody(PutPool)
		return
	}
	e.tree.pools = e.tree.pools.put(p.Name, p)
	e.pools[p.Name] = true
}

func (e *edit) deletePool(name string) {
	if _, ok := e.tree.pools.get(name); !ok {
		e.missing("pool", name)
		return
	}
	e.tree.pools = e.tree.pools.remove(name)
	e.pools[name] = true
}

func (e *edit) putPipeline(p *Pipeline) {
	if p == nil {
		e.missingBody(PutPipeline)
		return
	}
	if old, ok := e.tree.pipelines.get(p.Name); ok {
		e.countPipeline(old, -1)
	}
	e.countPipeline(p, 1)
	e.tree.pipelines = e.tree.pipelines.put(p.Name, p)
	e.pipelines[p.Name] = true
}

func (e *edit) deletePipeline(name string) {
	old, ok := e.tree.pipelines.get(name)
	if !ok {
		e.missing("pipeline", name)
		return
	}
	e.countPipeline(old, -1)
	e.tree.pipelines = e.tree.pipelines.remove(name)
	e.pipelines[name] = true
}

func (e *edit) putService(s *Service) {
	if s == nil {
		e.missingBody(PutService)
		return
	}
	if old, ok := e.tree.services.get(s.Name); ok {
		e.count("pool", old.Pool, -1)
	}
	e.count("pool", s.Pool, 1)
	e.tree.services = e.tree.services.put(s.Name, s)
	e.services[s.Name] = true
}

func (e *edit) deleteService(name string) {
	old, ok := e.tree.services.get(name)
	if !ok {
		e.missing("service", name)
		return
	}
	e.count("pool", old.Pool, -1)
	e.tree.services = e.tree.services.remove(name)
	e.services[name] = true
}

func (e *edit) putWorkspace(w *Workspace) {
	if w == nil {
		e.missingBody(PutWorkspace)
		return
	}
	if old, ok := e.tree.workspaces.get(w.Name); ok {
		e.countWorkspace(old, -1)
		e.dropTokens(old)
	}
	e.countWorkspace(w, 1)
	e.addTokens(w)
	e.tree.workspaces = e.tree.workspaces.put(w.Name, w)
	e.workspaces[w.Name] = true
}

func (e *edit) deleteWorkspace(name string) {
	old, ok := e.tree.workspaces.get(name)
	if !ok {
		e.missing("workspace", name)
		return
	}
	e.countWorkspace(old, -1)
	e.dropTokens(old)
	e.tree.workspaces = e.tree.workspaces.remove(name)
	e.workspaces[name] = true
}

// addTokens enters the workspace's digests. One that another workspace has is
// taken over; the check afterwards finds the loss unless a later operation
// of the same change takes the digest from the other workspace.
func (e *edit) addTokens(w *Workspace) {
	for _, digest := range w.TokenSHA256 {
		if other, ok := e.tree.tokens.get(digest); ok {
			e.workspaces[other] = true
		}
		e.tree.tokens = e.tree.tokens.put(digest, w.Name)
	}
}

func (e *edit) dropTokens(w *Workspace) {
	for _, digest := range w.TokenSHA256 {
		if owner, ok := e.tree.tokens.get(digest); ok && owner == w.Name {
			e.tree.tokens = e.tree.tokens.remove(digest)
		}
	}
}

func (e *edit) countPipeline(p *Pipeline, by int) {
	for _, s := range p.Stages {
		e.count("pool", s.Pool, by)
	}
}

func (e *edit) countWorkspace(w *Workspace, by int) {
	for _, name := range w.Pipelines {
		e.count("pipeline", name, by)
	}
	for _, name := range w.Services {
		e.count("service", name, by)
	}
}

func (e *edit) count(kind, name string, by int) {
	key := useKey(kind, name)
	n, _ := e.tree.uses.get(key)
	if n+by == 0 {
		e.tree.uses = e.tree.uses.remove(key)
		return
	}
	e.tree.uses = e.tree.uses.put(key, n+by)
}

func useKey(kind, name string) string { return kind + "/" + name }

func (e *edit) missing(kind, name string) {
	e.faults.add(subject(kind, name), "", "remove the operation or correct the name", "it does not exist")
}

func (e *edit) missingBody(kind OpKind) {
	e.faults.add(subject("operation", string(kind)), "", "give the resource that the operation puts", "it has no resource")
}
