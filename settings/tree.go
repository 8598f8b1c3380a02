package settings

import (
	"sync"
	"time"
)

// Tree is one version of all settings. It is immutable and safe for
// concurrent use; changes make new trees that share what is unchanged.
type Tree struct {
	version    uint64
	root       *branch
	pools      trie[*Pool]
	pipelines  trie[*Pipeline]
	services   trie[*Service]
	workspaces trie[*Workspace]
	// tokens maps token digests to workspace names.
	tokens trie[string]
	// uses counts the bindings to each pool, pipeline and service, under the
	// names that useKey gives.
	uses trie[int]
	// history holds the newest accepted changes, oldest first.
	history log[Change]
	// outcomes holds the results of change ids, oldest first, and byID the
	// same by id.
	outcomes log[outcome]
	byID     trie[*outcome]
	// encoded is the result of Encode. Trees with the same settings share it.
	encoded *encoding
}

// encoding is made on its first use. A control VM sends the same bytes to
// every entry VM that needs the whole tree.
type encoding struct {
	once  sync.Once
	bytes []byte
	err   error
}

// NewTree gives the empty tree at version 0.
func NewTree() *Tree {
	return &Tree{root: &branch{}, encoded: &encoding{}}
}

// Version is the number of accepted changes.
func (t *Tree) Version() uint64 { return t.version }

// Workspace looks a workspace up by its name, in constant time.
func (t *Tree) Workspace(name string) (value *Workspace, ok bool) {
	return t.workspaces.get(name)
}

// WorkspaceByToken looks a workspace up by the hex SHA-256 digest of one of
// its tokens, in constant time.
func (t *Tree) WorkspaceByToken(sha256hex string) (value *Workspace, ok bool) {
	name, ok := t.tokens.get(sha256hex)
	if !ok {
		return nil, false
	}
	return t.workspaces.get(name)
}

// Pipeline looks a pipeline up by its name, in constant time.
func (t *Tree) Pipeline(name string) (value *Pipeline, ok bool) { return t.pipelines.get(name) }

// Service looks a service up by its name, in constant time.
func (t *Tree) Service(name string) (value *Service, ok bool) { return t.services.get(name) }

// Pool looks a pool up by its name, in constant time.
func (t *Tree) Pool(name string) (value *Pool, ok bool) { return t.pools.get(name) }

// Pools gives all pools by name.
func (t *Tree) Pools() []Pool { return sortedValues(t.pools) }

// Pipelines gives all pipelines by name.
func (t *Tree) Pipelines() []Pipeline { return sortedValues(t.pipelines) }

// Services gives all services by name.
func (t *Tree) Services() []Service { return sortedValues(t.services) }

// Workspaces gives all workspaces by name.
func (t *Tree) Workspaces() []Workspace { return sortedValues(t.workspaces) }

// Branches gives the paths of all branches that set a value, parents first.
func (t *Tree) Branches() []string {
	var paths []string
	t.root.walk("", func(path string, b *branch) {
		if len(b.values) > 0 {
			paths = append(paths, path)
		}
	})
	return paths
}

// Values gives the values that the branch itself sets, sorted by key.
func (t *Tree) Values(path string) []Op {
	b := t.root.at(path)
	if b == nil {
		return nil
	}
	ops := make([]Op, len(b.values))
	for i, s := range b.values {
		ops[i] = Op{Kind: SetValue, Branch: path, Key: s.key, Value: s.value}
	}
	return ops
}

// StageBranch is where the values of one stage of a workspace's pipeline are
// looked up first.
func StageBranch(w *Workspace, pipeline, stage string) string {
	return ChildBranch(ChildBranch(w.Branch, pipeline), stage)
}

// Effective gives the value of key that holds at branch, and where it comes
// from. For an unknown key it gives an empty default.
func (t *Tree) Effective(branch string, key Key) Origin {
	s, depth, ok := t.lookup(branch, key)
	if ok {
		return Origin{Value: s.value, Branch: prefix(branch, depth), Version: s.version}
	}
	k, ok := specs[key]
	if !ok {
		return Origin{Default: true}
	}
	return Origin{Value: k.Default, Default: true}
}

// Duration reads a key of UnitDuration; 0 for a key of another unit.
func (t *Tree) Duration(branch string, key Key) time.Duration {
	k, ok := specs[key]
	if !ok || k.Unit != UnitDuration {
		return 0
	}
	return time.Duration(t.number(branch, k))
}

// Int reads a key of UnitCount, UnitPercent, UnitBytes or UnitBytesPerSecond;
// 0 for a key of another unit.
func (t *Tree) Int(branch string, key Key) int64 {
	k, ok := specs[key]
	if !ok {
		return 0
	}
	switch k.Unit {
	case UnitCount, UnitPercent, UnitBytes, UnitBytesPerSecond:
		return t.number(branch, k)
	}
	return 0
}

// Bool reads a key of UnitBool; false for a key of another unit.
func (t *Tree) Bool(branch string, key Key) bool {
	k, ok := specs[key]
	return ok && k.Unit == UnitBool && t.number(branch, k) == 1
}

// String reads a key of any unit as it was written.
func (t *Tree) String(branch string, key Key) string {
	return t.Effective(branch, key).Value
}

func (t *Tree) number(branch string, k *known) int64 {
	if s, _, ok := t.lookup(branch, k.Key); ok {
		return s.number
	}
	return k.number
}

// lookup walks from the root to path and gives the deepest value of key, with
// the number of path elements of the branch that sets it.
func (t *Tree) lookup(path string, key Key) (found setting, depth int, ok bool) {
	b := t.root
	for level := 0; ; level++ {
		if s, set := b.find(key); set {
			found, depth, ok = s, level, true
		}
		if path == "" {
			return found, depth, ok
		}
		var head string
		head, path = cutPath(path)
		child, exists := b.children.get(head)
		if !exists {
			return found, depth, ok
		}
		b = child
	}
}

// prefix gives the first n elements of path.
func prefix(path string, n int) string {
	end := 0
	for range n {
		if end > 0 {
			end++ // the slash
		}
		for end < len(path) && path[end] != '/' {
			end++
		}
	}
	return path[:end]
}

func sortedValues[T any](t trie[*T]) []T {
	all := make([]T, 0, t.size)
	for _, name := range t.sortedKeys() {
		v, _ := t.get(name)
		all = append(all, *v)
	}
	return all
}
