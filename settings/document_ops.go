package settings

import "slices"

// ops returns the operations that change base to match the document. Puts come
// first. Deletions follow in the order of references, referrers first.
func (d *document) ops(base *Tree) []Op {
	var ops []Op
	ops = append(ops, d.valueOps(base)...)
	ops = append(ops, putOps(d.pools, base.pools, func(a, b *Pool) bool { return *a == *b },
		func(p *Pool) Op { return Op{Kind: PutPool, Pool: p} })...)
	ops = append(ops, putOps(d.pipelines, base.pipelines, equalPipelines,
		func(p *Pipeline) Op { return Op{Kind: PutPipeline, Pipeline: p} })...)
	ops = append(ops, putOps(d.services, base.services, equalServices,
		func(s *Service) Op { return Op{Kind: PutService, Service: s} })...)
	ops = append(ops, putOps(d.workspaces, base.workspaces, equalWorkspaces,
		func(w *Workspace) Op { return Op{Kind: PutWorkspace, Workspace: w} })...)
	ops = append(ops, deleteOps(d.workspaces, base.workspaces, DeleteWorkspace)...)
	ops = append(ops, deleteOps(d.services, base.services, DeleteService)...)
	ops = append(ops, deleteOps(d.pipelines, base.pipelines, DeletePipeline)...)
	return append(ops, deleteOps(d.pools, base.pools, DeletePool)...)
}

func (d *document) valueOps(base *Tree) []Op {
	if d.branches == nil {
		return nil
	}
	var ops []Op
	for _, path := range sortedMapKeys(d.branches) {
		b := base.root.at(path)
		for _, key := range sortedMapKeys(d.branches[path]) {
			value := d.branches[path][key]
			if b != nil {
				if old, ok := b.find(key); ok && old.value == value {
					continue
				}
			}
			ops = append(ops, Op{Kind: SetValue, Branch: path, Key: key, Value: value})
		}
	}
	for _, path := range base.Branches() {
		for _, old := range base.Values(path) {
			if _, kept := d.branches[path][old.Key]; !kept {
				ops = append(ops, Op{Kind: UnsetValue, Branch: path, Key: old.Key})
			}
		}
	}
	return ops
}

func putOps[T any](s *resourceSection[T], base trie[*T], equal func(a, b *T) bool, op func(*T) Op) []Op {
	if s == nil {
		return nil
	}
	var ops []Op
	for _, v := range s.items {
		o := op(v)
		if old, ok := base.get(o.resourceName()); ok && equal(old, v) {
			continue
		}
		ops = append(ops, o)
	}
	return ops
}

func deleteOps[T any](s *resourceSection[T], base trie[*T], kind OpKind) []Op {
	if s == nil {
		return nil
	}
	var ops []Op
	for _, name := range base.sortedKeys() {
		if !s.names[name] {
			ops = append(ops, Op{Kind: kind, Name: name})
		}
	}
	return ops
}

// resourceName returns the name of the resource that the operation puts or
// deletes.
func (o *Op) resourceName() string {
	switch {
	case o.Pool != nil:
		return o.Pool.Name
	case o.Pipeline != nil:
		return o.Pipeline.Name
	case o.Service != nil:
		return o.Service.Name
	case o.Workspace != nil:
		return o.Workspace.Name
	}
	return o.Name
}

func equalPipelines(a, b *Pipeline) bool {
	return a.Name == b.Name && slices.Equal(a.Stages, b.Stages)
}

func equalServices(a, b *Service) bool {
	return a.Name == b.Name && a.Pool == b.Pool && slices.Equal(a.RepeatableOps, b.RepeatableOps)
}

func equalWorkspaces(a, b *Workspace) bool {
	return a.Name == b.Name && a.Branch == b.Branch && slices.Equal(a.TokenSHA256, b.TokenSHA256) &&
		slices.Equal(a.Pipelines, b.Pipelines) && slices.Equal(a.Services, b.Services)
}

func sortedMapKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
