package settings

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

var (
	branchGen = rapid.SampledFrom([]string{"", "a", "a/b", "a/b/c", "d", "d/..", "d//e"})
	poolGen   = rapid.SampledFrom([]string{"p1", "p2", "p3"})
	nameGen   = rapid.SampledFrom([]string{"x", "y", "z"})
	kindGen   = rapid.SampledFrom([]StageKind{Encode, Rerank, Generate, Plain, "odd"})
)

// opGen draws valid and invalid operations over few names, so that bindings,
// deletions and contradictions meet often.
func opGen(t *rapid.T) Op {
	kinds := []OpKind{
		SetValue, UnsetValue, PutPool, DeletePool, PutPipeline, DeletePipeline,
		PutService, DeleteService, PutWorkspace, DeleteWorkspace, "odd",
	}
	op := Op{Kind: rapid.SampledFrom(kinds).Draw(t, "kind")}
	name := nameGen.Draw(t, "name")
	switch op.Kind {
	case SetValue, UnsetValue:
		op.Branch = branchGen.Draw(t, "branch")
		op.Key = rapid.SampledFrom([]Key{DeadlineDefault, DeadlineMax, AdmissionMinLimit, AdmissionMaxLimit, AnswerRetention, "odd"}).Draw(t, "key")
		op.Value = rapid.SampledFrom([]string{"1s", "70s", "2h", "3", "2000", ""}).Draw(t, "value")
	case PutPool:
		name := poolGen.Draw(t, "pool")
		op.Pool = &Pool{Name: name, Kind: usualKind(t, name)}
	case PutPipeline:
		op.Pipeline = &Pipeline{Name: name, Stages: rapid.SliceOfN(rapid.Custom(stageGen), 0, 2).Draw(t, "stages")}
	case PutService:
		op.Service = &Service{Name: name, Pool: poolGen.Draw(t, "pool")}
	case PutWorkspace:
		op.Workspace = &Workspace{
			Name: name, Branch: branchGen.Draw(t, "branch"),
			TokenSHA256: rapid.SliceOfN(rapid.SampledFrom([]string{digestA, digestB, "odd"}), 0, 1).Draw(t, "tokens"),
			Pipelines:   rapid.SliceOfN(nameGen, 0, 2).Draw(t, "pipelines"),
			Services:    rapid.SliceOfN(nameGen, 0, 1).Draw(t, "services"),
		}
	case DeletePool:
		op.Name = poolGen.Draw(t, "pool")
	default:
		op.Name = name
	}
	return op
}

func stageGen(t *rapid.T) Stage {
	s := Stage{Name: nameGen.Draw(t, "stage"), Pool: poolGen.Draw(t, "pool")}
	s.Kind = usualKind(t, s.Pool)
	if s.Kind == Generate {
		s.Model = "m"
	}
	return s
}

// usualKind is mostly the kind that the pool of that name usually has.
func usualKind(t *rapid.T, pool string) StageKind {
	if rapid.IntRange(0, 9).Draw(t, "odd kind") == 9 {
		return kindGen.Draw(t, "kind")
	}
	return map[string]StageKind{"p1": Encode, "p2": Generate, "p3": Plain}[pool]
}

func mustEncode(t *rapid.T, tree *Tree) []byte {
	b, err := tree.EncodeAll()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestTreeHistory guards against a change that is judged by the wrong rules
// (validation of what was touched must agree with validation of the whole
// tree), a change that alters an older tree, and restored or replayed trees
// that differ from the one that the changes made.
func TestTreeHistory(t *testing.T) {
	accepted, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		start, _ := NewTree().Apply(Change{ID: "start", Ops: []Op{
			{Kind: PutPool, Pool: &Pool{Name: "p1", Kind: Encode}},
			{Kind: PutPool, Pool: &Pool{Name: "p2", Kind: Generate}},
			{Kind: PutPool, Pool: &Pool{Name: "p3", Kind: Plain}},
			{Kind: PutPipeline, Pipeline: &Pipeline{Name: "x", Stages: []Stage{{Name: "x", Kind: Encode, Pool: "p1"}}}},
			{Kind: PutService, Service: &Service{Name: "x", Pool: "p3"}},
		}})
		tree, follower := start, NewTree()
		for i := range rapid.IntRange(1, 60).Draw(t, "changes") {
			before := mustEncode(t, tree)
			ops := rapid.SliceOfN(rapid.Custom(opGen), 1, 3).Draw(t, "ops")
			next, r := tree.Apply(Change{ID: fmt.Sprint(i), Base: tree.Version(), Ops: ops})
			if !bytes.Equal(before, mustEncode(t, tree)) {
				t.Fatalf("change %d altered the tree that it was made on", i)
			}
			checkVerdict(t, tree, ops, r)
			if r.State == Accepted {
				accepted++
				checkShape(t, next)
			} else {
				refused++
			}
			tree = next
			if rapid.Bool().Draw(t, "follow") {
				follower = follow(t, tree, follower)
			}
		}
		follow(t, tree, follower)
		checkDocument(t, tree)
	})
	t.Logf("accepted %d, refused %d", accepted, refused)
	if accepted < refused/9 || refused < accepted/9 {
		t.Fatalf("accepted %d and refused %d changes: the generator no longer meets both", accepted, refused)
	}
}

// checkVerdict compares the verdict with a validation of the whole result.
func checkVerdict(t *rapid.T, tree *Tree, ops []Op, r ChangeResult) {
	out, faults := tree.edit(ops, tree.version+1, false)
	valid := len(faults) == 0 && out.Validate() == nil && soundValues(ops)
	if valid != (r.State == Accepted) {
		t.Fatalf("verdict %s (%s), whole-tree validation: faults %v, error %v", r.State, r.Detail, faults, out.Validate())
	}
}

// soundValues says whether every value that is set is allowed by itself, also
// one that a later operation of the change takes back.
func soundValues(ops []Op) bool {
	for _, op := range ops {
		if op.Kind != SetValue {
			continue
		}
		k, ok := specs[op.Key]
		if !ok || (k.RootOnly && op.Branch != "") {
			return false
		}
		if _, err := k.parse(op.Value); err != nil {
			return false
		}
	}
	return true
}

// checkShape compares the tree with one that is made anew from its content:
// use counts, digests and the shapes of the tries depend on content only.
func checkShape(t *rapid.T, tree *Tree) {
	b := mustEncode(t, tree)
	anew, err := DecodeTree(b)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(anew.uses, tree.uses) || !reflect.DeepEqual(anew.tokens, tree.tokens) {
		t.Fatalf("indexes differ from those of a new tree: uses %v and %v", tree.uses.sortedKeys(), anew.uses.sortedKeys())
	}
	if !bytes.Equal(b, mustEncode(t, anew)) {
		t.Fatalf("decoding and encoding gives another tree")
	}
}

// checkDocument writes the tree as a document and reads it back.
func checkDocument(t *rapid.T, tree *Tree) {
	doc := tree.Document()
	if ops, err := ParseDocument("d", doc, tree); err != nil || len(ops) > 0 {
		t.Fatalf("the document differs from its tree by %v, error %v:\n%s", ops, err, doc)
	}
	ops, err := ParseDocument("d", doc, NewTree())
	if err != nil {
		t.Fatalf("%v:\n%s", err, doc)
	}
	anew, err := NewTree().Preview(ops)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(doc, anew.Document()) {
		t.Fatalf("the document leads to another tree:\n%s", doc)
	}
}

// follow replays what the follower lacks and then compares both.
func follow(t *rapid.T, tree, follower *Tree) *Tree {
	changes, ok := tree.Since(follower.Version())
	if !ok {
		t.Fatalf("the history of version %d does not reach back to %d", tree.Version(), follower.Version())
	}
	next, err := follower.Replay(changes)
	if err != nil {
		t.Fatal(err)
	}
	checkCopies(t, tree, next)
	return next
}

func checkCopies(t *rapid.T, tree, follower *Tree) {
	want, err := tree.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := follower.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if fresh, err := tree.encode(tree.file()); err != nil || !bytes.Equal(fresh, want) {
		t.Fatalf("Encode gives the bytes of another tree: %v", err)
	}
	if !bytes.Equal(want, got) {
		t.Fatalf("a replayed tree differs from the leader's")
	}
	if again, err := tree.Replay([]Change{{Version: tree.Version() + 2}}); err == nil {
		t.Fatalf("a gap was applied: version %d", again.Version())
	}
}

// TestTrie compares the trie with a map, with hashes that collide often in
// their first levels, and checks that older tries do not change.
func TestTrie(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := map[string]int{}
		var tr, old trie[int]
		var oldModel map[string]int
		for i := range rapid.IntRange(1, 300).Draw(t, "steps") {
			key := fmt.Sprint(rapid.IntRange(0, 150).Draw(t, "key"))
			if rapid.Bool().Draw(t, "put") {
				tr = tr.put(key, i)
				model[key] = i
			} else {
				tr = tr.remove(key)
				delete(model, key)
			}
			if i%40 == 0 {
				old, oldModel = tr, map[string]int{}
				for k, v := range model {
					oldModel[k] = v
				}
			}
		}
		checkTrie(t, tr, model)
		checkTrie(t, old, oldModel)
	})
}

func checkTrie(t *rapid.T, tr trie[int], model map[string]int) {
	if tr.size != len(model) || len(tr.sortedKeys()) != len(model) {
		t.Fatalf("trie has %d keys, the map %d", tr.size, len(model))
	}
	for k, v := range model {
		if got, ok := tr.get(k); !ok || got != v {
			t.Fatalf("key %s: %d, want %d", k, got, v)
		}
	}
}

// TestTrieCollisions covers the lists at the last level, which equal 64-bit
// hashes lead to.
func TestTrieCollisions(t *testing.T) {
	var root *trieNode[int]
	for i, key := range []string{"b", "a", "c", "a"} {
		root, _ = root.put(&trieEntry[int]{hash: 7, key: key, value: i}, 0)
	}
	n := root
	for n.entries == nil {
		n = n.slots[0].node
	}
	if v, ok := n.listGet("a"); !ok || v != 3 || len(n.entries) != 3 {
		t.Fatalf("a is %d, %d entries", v, len(n.entries))
	}
	root = root.remove(7, "b", 0)
	root = root.remove(7, "a", 0)
	if len(root.slots) != 1 || root.slots[0].entry == nil || root.slots[0].entry.key != "c" {
		t.Fatalf("the last entry did not move up: %+v", root)
	}
	if root = root.remove(7, "c", 0); root != nil {
		t.Fatalf("an empty trie has a node: %+v", root)
	}
}
