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
