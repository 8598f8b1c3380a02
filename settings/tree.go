package settings

import (
	"strings"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/residency"
)

// Tree is one version of all settings. It is immutable and safe for concurrent
// use. A change creates a new tree that shares unchanged parts with the old one.
type Tree struct {
	version    uint64
	root       *branch
	pools      trie[*Pool]
	pipelines  trie[*Pipeline]
	services   trie[*Service]
	workspaces trie[*Workspace]
	// tokens maps token digests to workspace names.
	tokens trie[string]
	// refCounts counts the references to each pool, pipeline and service, with
	// keys as returned by refKey.
	refCounts trie[int]
	// history holds the newest accepted changes, oldest first.
	history persistentLog[Change]
	// outcomes holds the results of change ids, oldest first; byID indexes them
	// by id.
	outcomes persistentLog[outcome]
	byID     trie[*outcome]
	// encoded caches the result of Encode. Trees with equal settings that differ
	// only in recorded outcomes share it.
	encoded *encodingCache
}

// encodingCache holds the bytes of a tree, which is encoded on first use. A
// control VM sends the same bytes to every entry VM that needs the whole tree.
type encodingCache struct {
	once  sync.Once
	bytes []byte
	err   error
}

// NewTree returns an empty tree with version 0.
func NewTree() *Tree {
	return &Tree{root: &branch{}, encoded: &encodingCache{}}
}

// Version returns the version of the tree, which is the number of accepted
// changes.
func (t *Tree) Version() uint64 { return t.version }

// Workspace looks up a workspace by its name, in constant time.
func (t *Tree) Workspace(name string) (value *Workspace, ok bool) {
	return t.workspaces.get(name)
}

// WorkspaceByToken looks up a workspace by the hex SHA-256 digest of one of its
// tokens, in constant time.
func (t *Tree) WorkspaceByToken(sha256hex string) (value *Workspace, ok bool) {
	name, ok := t.tokens.get(sha256hex)
	if !ok {
		return nil, false
	}
	return t.workspaces.get(name)
}

// Pipeline looks up a pipeline by its name, in constant time.
func (t *Tree) Pipeline(name string) (value *Pipeline, ok bool) { return t.pipelines.get(name) }

// Service looks up a service by its name, in constant time.
func (t *Tree) Service(name string) (value *Service, ok bool) { return t.services.get(name) }

// Pool looks up a pool by its name, in constant time.
func (t *Tree) Pool(name string) (value *Pool, ok bool) { return t.pools.get(name) }

// Pools returns all pools, sorted by name.
func (t *Tree) Pools() []Pool { return sortedValues(t.pools) }

// Pipelines returns all pipelines, sorted by name.
func (t *Tree) Pipelines() []Pipeline { return sortedValues(t.pipelines) }

// Services returns all services, sorted by name.
func (t *Tree) Services() []Service { return sortedValues(t.services) }

// Workspaces returns all workspaces, sorted by name.
func (t *Tree) Workspaces() []Workspace { return sortedValues(t.workspaces) }

// Branches returns the paths of all branches that set a value, parents first.
func (t *Tree) Branches() []string {
	var paths []string
	t.root.walk("", func(path string, b *branch) {
		if len(b.values) > 0 {
			paths = append(paths, path)
		}
	})
	return paths
}

// Values returns the values set on the branch itself as SetValue operations,
// sorted by key.
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

// StageBranch returns the branch at which the values of a stage of a
// workspace's pipeline are looked up.
func StageBranch(w *Workspace, pipeline, stage string) string {
	return ChildBranch(ChildBranch(w.Branch, pipeline), stage)
}

// Effective returns the value of key in effect at branch and where it is set.
// The value is empty for an unknown key that no branch sets.
func (t *Tree) Effective(branch string, key Key) EffectiveValue {
	s, depth, ok := t.lookup(branch, key)
	if ok {
		return EffectiveValue{Value: s.value, Branch: pathPrefix(branch, depth), Version: s.version}
	}
	spec, ok := specs[key]
	if !ok {
		return EffectiveValue{Default: true}
	}
	return EffectiveValue{Value: spec.Default, Default: true}
}

// Duration returns the value of a UnitDuration key, or 0 for a key of another
// unit.
func (t *Tree) Duration(branch string, key Key) time.Duration {
	spec, ok := specs[key]
	if !ok || spec.Unit != UnitDuration {
		return 0
	}
	return time.Duration(t.parsedValue(branch, spec))
}

// Int returns the value of a UnitCount, UnitPercent, UnitBytes or
// UnitBytesPerSecond key, or 0 for a key of another unit.
func (t *Tree) Int(branch string, key Key) int64 {
	spec, ok := specs[key]
	if !ok {
		return 0
	}
	switch spec.Unit {
	case UnitCount, UnitPercent, UnitBytes, UnitBytesPerSecond:
		return t.parsedValue(branch, spec)
	}
	return 0
}

// Bool returns the value of a UnitBool key, or false for a key of another unit.
func (t *Tree) Bool(branch string, key Key) bool {
	spec, ok := specs[key]
	return ok && spec.Unit == UnitBool && t.parsedValue(branch, spec) == 1
}

// String returns the value of a key of any unit, as it was written.
func (t *Tree) String(branch string, key Key) string {
	return t.Effective(branch, key).Value
}

// Regions returns the effective regions of a UnitRegions key at branch.
func (t *Tree) Regions(branch string, key Key) residency.Regions {
	value := t.String(branch, key)
	if value == "" {
		return residency.Regions{}
	}
	return residency.Of(strings.Split(value, ","))
}

// parsedValue returns the parsed effective value of a key at branch.
func (t *Tree) parsedValue(branch string, spec *parsedSpec) int64 {
	if s, _, ok := t.lookup(branch, spec.Key); ok {
		return s.parsed
	}
	return spec.parsedDefault
}

// lookup returns the value of key that is set closest to path, on the branch
// itself or an ancestor, with the number of path elements of that branch.
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

// pathPrefix returns the first n elements of path.
func pathPrefix(path string, n int) string {
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
