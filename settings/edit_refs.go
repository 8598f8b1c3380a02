package settings

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
