package settings

import (
	"fmt"

	"damaskbridge.example/damaskbridge/internal/cbormode"
)

// treeFormat is the format version of an encoded tree.
const treeFormat = 1

// treeFile is the encoded form of a tree. All lists are sorted, so that equal
// trees are encoded as equal bytes.
type treeFile struct {
	Format     uint           `cbor:"1,keyasint"`
	Version    uint64         `cbor:"2,keyasint"`
	Branches   []branchFile   `cbor:"3,keyasint,omitempty"`
	Pools      []Pool         `cbor:"4,keyasint,omitempty"`
	Pipelines  []Pipeline     `cbor:"5,keyasint,omitempty"`
	Services   []Service      `cbor:"6,keyasint,omitempty"`
	Workspaces []Workspace    `cbor:"7,keyasint,omitempty"`
	History    []Change       `cbor:"8,keyasint,omitempty"`
	Outcomes   []*outcomeFile `cbor:"9,keyasint,omitempty"`
}

type branchFile struct {
	_      struct{} `cbor:",toarray"`
	Path   string
	Values []valueFile
}

type valueFile struct {
	_       struct{} `cbor:",toarray"`
	Key     Key
	Value   string
	Version uint64
}

type outcomeFile struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Operator string
	Base     uint64
	State    ApplyState
	Version  uint64
	Detail   string
	Winner   uint64
	AtUnixMS int64
}

// Encode returns the encoded settings for entry VMs, without the history and
// the results of change ids. Equal settings are encoded as equal bytes. The
// slice is shared by all callers and must not be modified.
func (t *Tree) Encode() ([]byte, error) {
	e := t.encoded
	e.once.Do(func() { e.bytes, e.err = t.encode(t.toFile()) })
	return e.bytes, e.err
}

// EncodeAll returns the encoded settings with the history and the results of
// change ids, for snapshots of the replicated state.
func (t *Tree) EncodeAll() ([]byte, error) {
	f := t.toFile()
	for i := range t.history.len() {
		f.History = append(f.History, *t.history.at(i))
	}
	for i := range t.outcomes.len() {
		o := t.outcomes.at(i)
		f.Outcomes = append(f.Outcomes, &outcomeFile{
			ID: o.id, Operator: o.operator, Base: o.base, State: o.state,
			Version: o.version, Detail: o.detail, Winner: o.winner, AtUnixMS: o.atUnixMS,
		})
	}
	return t.encode(f)
}

func (t *Tree) encode(f *treeFile) ([]byte, error) {
	b, err := cbormode.Deterministic.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("settings: encode version %d: %w", t.version, err)
	}
	return b, nil
}

func (t *Tree) toFile() *treeFile {
	return &treeFile{
		Format: treeFormat, Version: t.version, Branches: t.branchFiles(),
		Pools: t.Pools(), Pipelines: t.Pipelines(), Services: t.Services(), Workspaces: t.Workspaces(),
	}
}

func (t *Tree) branchFiles() []branchFile {
	var files []branchFile
	t.root.walk("", func(path string, b *branch) {
		if len(b.values) == 0 {
			return
		}
		f := branchFile{Path: path}
		for _, s := range b.values {
			f.Values = append(f.Values, valueFile{Key: s.key, Value: s.value, Version: s.version})
		}
		files = append(files, f)
	})
	return files
}

// DecodeTree decodes a tree that Encode or EncodeAll encoded.
func DecodeTree(b []byte) (*Tree, error) {
	var f treeFile
	if err := cbormode.Large.Unmarshal(b, &f); err != nil {
		return nil, fmt.Errorf("settings: decode tree: %w", err)
	}
	if f.Format != treeFormat {
		return nil, fmt.Errorf("settings: decode tree: format %d is not known, this program reads format %d; upgrade it", f.Format, treeFormat)
	}
	out, violations := NewTree().applyOps(f.ops(), f.Version, false)
	if len(violations) > 0 {
		return nil, fmt.Errorf("settings: decode tree: %w", violations)
	}
	// out is not shared yet and its encoding is not cached, so the versions can
	// be set in place.
	f.restoreValueVersions(out)
	if err := f.checkDuplicateNames(out); err != nil {
		return nil, err
	}
	return out, f.restoreHistory(out)
}

// ops returns the operations that create the encoded settings in an empty tree.
func (f *treeFile) ops() []Op {
	var ops []Op
	for _, b := range f.Branches {
		for _, v := range b.Values {
			ops = append(ops, Op{Kind: SetValue, Branch: b.Path, Key: v.Key, Value: v.Value})
		}
	}
	for i := range f.Pools {
		ops = append(ops, Op{Kind: PutPool, Pool: &f.Pools[i]})
	}
	for i := range f.Pipelines {
		ops = append(ops, Op{Kind: PutPipeline, Pipeline: &f.Pipelines[i]})
	}
	for i := range f.Services {
		ops = append(ops, Op{Kind: PutService, Service: &f.Services[i]})
	}
	for i := range f.Workspaces {
		ops = append(ops, Op{Kind: PutWorkspace, Workspace: &f.Workspaces[i]})
	}
	return ops
}

// restoreValueVersions restores the version of each value. It modifies the
// branches of t in place, so t must not be shared yet.
func (f *treeFile) restoreValueVersions(t *Tree) {
	for _, b := range f.Branches {
		node := t.root.at(b.Path)
		for _, v := range b.Values {
			node.values[node.search(v.Key)].version = v.Version
		}
	}
}

// checkDuplicateNames rejects an encoded tree in which a name occurs twice. t
// is the decoded tree, which holds each name once.
func (f *treeFile) checkDuplicateNames(t *Tree) error {
	if len(f.Pools) != t.pools.size || len(f.Pipelines) != t.pipelines.size ||
		len(f.Services) != t.services.size || len(f.Workspaces) != t.workspaces.size {
		return fmt.Errorf("settings: decode tree: a name occurs twice; fetch the tree again")
	}
	return nil
}

// restoreHistory restores the history and the results of change ids.
func (f *treeFile) restoreHistory(t *Tree) error {
	if uint64(len(f.History)) > f.Version {
		return fmt.Errorf("settings: decode tree: %d changes cannot have made version %d", len(f.History), f.Version)
	}
	first := f.Version - uint64(len(f.History))
	var history []*Change
	for i := range f.History {
		c := &f.History[i]
		if c.Version != first+uint64(i)+1 {
			return fmt.Errorf("settings: decode tree: change %d is out of order", c.Version)
		}
		history = append(history, c)
	}
	t.history = newPersistentLog(history)
	var outcomes []*outcome
	for _, r := range f.Outcomes {
		if r == nil {
			return fmt.Errorf("settings: decode tree: empty result of a change id")
		}
		o := &outcome{
			id: r.ID, operator: r.Operator, base: r.Base, state: r.State,
			version: r.Version, detail: r.Detail, winner: r.Winner, atUnixMS: r.AtUnixMS,
		}
		outcomes = append(outcomes, o)
		t.byID = t.byID.put(o.id, o)
	}
	t.outcomes = newPersistentLog(outcomes)
	if t.byID.size != t.outcomes.len() {
		return fmt.Errorf("settings: decode tree: a change id occurs twice")
	}
	return nil
}
