package settings

func (e *editor) putPool(p *Pool) {
	if p == nil {
		e.addMissingResource(PutPool)
		return
	}
	e.tree.pools = e.tree.pools.put(p.Name, p)
	e.touchedPools[p.Name] = true
}

func (e *editor) deletePool(name string) {
	removeResource(e, "pool", name, &e.tree.pools, e.touchedPools)
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
	if old, ok := removeResource(e, "pipeline", name, &e.tree.pipelines, e.touchedPipelines); ok {
		e.addPipelineRefs(old, -1)
	}
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
	if old, ok := removeResource(e, "service", name, &e.tree.services, e.touchedServices); ok {
		e.addRefs("pool", old.Pool, -1)
	}
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
	if old, ok := removeResource(e, "workspace", name, &e.tree.workspaces, e.touchedWorkspaces); ok {
		e.addWorkspaceRefs(old, -1)
		e.unindexTokens(old)
	}
}

// removeResource removes a resource and returns it. If there is none, it adds a
// violation and returns false.
func removeResource[T any](e *editor, kind, name string, from *trie[T], touched map[string]bool) (old T, ok bool) {
	if old, ok = from.get(name); !ok {
		e.addNotFound(kind, name)
		return old, false
	}
	*from = from.remove(name)
	touched[name] = true
	return old, true
}
