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
	kindGen   = rapid.SampledFrom([]StageKind{KindEncode, KindRerank, KindGenerate, KindService, "odd"})
)

// drawOp draws valid and invalid operations. It uses few names, so that
// references, deletions and conflicting values often coincide.
func drawOp(t *rapid.T) Op {
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
		op.Pool = &Pool{Name: name, Kind: likelyKind(t, name)}
	case PutPipeline:
		op.Pipeline = &Pipeline{Name: name, Stages: rapid.SliceOfN(rapid.Custom(drawStage), 0, 2).Draw(t, "stages")}
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

func drawStage(t *rapid.T) Stage {
	s := Stage{Name: nameGen.Draw(t, "stage"), Pool: poolGen.Draw(t, "pool")}
	s.Kind = likelyKind(t, s.Pool)
	if s.Kind == KindGenerate {
		s.Model = "m"
	}
	return s
}

// likelyKind returns the kind that the pool of that name usually has, or in one
// of ten draws a random kind.
func likelyKind(t *rapid.T, pool string) StageKind {
	if rapid.IntRange(0, 9).Draw(t, "odd kind") == 9 {
		return kindGen.Draw(t, "kind")
	}
	return map[string]StageKind{"p1": KindEncode, "p2": KindGenerate, "p3": KindService}[pool]
}

func mustEncode(t *rapid.T, tree *Tree) []byte {
	b, err := tree.EncodeAll()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestTreeHistory guards against incremental validation that disagrees with
// validation of the whole tree, a change that modifies an older tree, and
// decoded or replayed trees that differ from the original.
func TestTreeHistory(t *testing.T) {
	accepted, rejected := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		start, _ := NewTree().Apply(Change{ID: "start", Ops: []Op{
			{Kind: PutPool, Pool: &Pool{Name: "p1", Kind: KindEncode}},
			{Kind: PutPool, Pool: &Pool{Name: "p2", Kind: KindGenerate}},
			{Kind: PutPool, Pool: &Pool{Name: "p3", Kind: KindService}},
			{Kind: PutPipeline, Pipeline: &Pipeline{Name: "x", Stages: []Stage{{Name: "x", Kind: KindEncode, Pool: "p1"}}}},
			{Kind: PutService, Service: &Service{Name: "x", Pool: "p3"}},
		}})
		tree, follower := start, NewTree()
		for i := range rapid.IntRange(1, 60).Draw(t, "changes") {
			before := mustEncode(t, tree)
			ops := rapid.SliceOfN(rapid.Custom(drawOp), 1, 3).Draw(t, "ops")
			next, r := tree.Apply(Change{ID: fmt.Sprint(i), Base: tree.Version(), Ops: ops})
			if !bytes.Equal(before, mustEncode(t, tree)) {
				t.Fatalf("change %d modified the tree that it was applied to", i)
			}
			checkResult(t, tree, ops, r)
			if r.State == Accepted {
				accepted++
				checkIndexes(t, next)
			} else {
				rejected++
			}
			tree = next
			if rapid.Bool().Draw(t, "follow") {
				follower = replayMissing(t, tree, follower)
			}
		}
		replayMissing(t, tree, follower)
		checkDocument(t, tree)
	})
	t.Logf("accepted %d, rejected %d", accepted, rejected)
	if accepted < rejected/9 || rejected < accepted/9 {
		t.Fatalf("%d changes accepted and %d rejected: the generator no longer draws enough of both", accepted, rejected)
	}
}

// checkResult compares the result of a change with a validation of the whole
// tree.
func checkResult(t *rapid.T, tree *Tree, ops []Op, r ChangeResult) {
	out, violations := tree.applyOps(ops, tree.version+1, false)
	valid := len(violations) == 0 && out.Validate() == nil && validValues(ops)
	if valid != (r.State == Accepted) {
		t.Fatalf("change is %s (%s), whole-tree validation: violations %v, error %v", r.State, r.Detail, violations, out.Validate())
	}
}

// validValues reports whether every value that ops set is valid on its own,
// including values that a later operation replaces.
func validValues(ops []Op) bool {
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

// checkIndexes compares the tree with a decoded copy: reference counts, the
// token index and the structure of the tries must depend on content only.
func checkIndexes(t *rapid.T, tree *Tree) {
	b := mustEncode(t, tree)
	decoded, err := DecodeTree(b)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(decoded.refCounts, tree.refCounts) || !reflect.DeepEqual(decoded.tokens, tree.tokens) {
		t.Fatalf("indexes differ from those of the decoded tree: references %v and %v", tree.refCounts.sortedKeys(), decoded.refCounts.sortedKeys())
	}
	if !bytes.Equal(b, mustEncode(t, decoded)) {
		t.Fatalf("decoding and encoding the tree changes it")
	}
}

// checkDocument checks that the tree's document, when parsed, yields the tree.
func checkDocument(t *rapid.T, tree *Tree) {
	doc := tree.Document()
	if ops, err := ParseDocument("d", doc, tree); err != nil || len(ops) > 0 {
		t.Fatalf("the document differs from its tree by %v, error %v:\n%s", ops, err, doc)
	}
	ops, err := ParseDocument("d", doc, NewTree())
	if err != nil {
		t.Fatalf("%v:\n%s", err, doc)
	}
	created, err := NewTree().Preview(ops)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(doc, created.Document()) {
		t.Fatalf("the document yields another tree:\n%s", doc)
	}
}

// replayMissing returns the follower with the changes that it lacks and compares
// it with tree.
func replayMissing(t *rapid.T, tree, follower *Tree) *Tree {
	changes, ok := tree.Since(follower.Version())
	if !ok {
		t.Fatalf("the history of version %d does not reach back to %d", tree.Version(), follower.Version())
	}
	next, err := follower.Replay(changes)
	if err != nil {
		t.Fatal(err)
	}
	checkReplica(t, tree, next)
	return next
}

func checkReplica(t *rapid.T, tree, follower *Tree) {
	want, err := tree.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := follower.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if fresh, err := tree.encode(tree.toFile()); err != nil || !bytes.Equal(fresh, want) {
		t.Fatalf("the cached encoding differs from a new one: %v", err)
	}
	if !bytes.Equal(want, got) {
		t.Fatalf("the replayed tree differs from the original")
	}
	if again, err := tree.Replay([]Change{{Version: tree.Version() + 2}}); err == nil {
		t.Fatalf("changes with a gap were replayed: version %d", again.Version())
	}
}

// TestTrie guards against a trie that differs from a map with the same content,
// and against an operation that modifies an older trie. The hashes of the keys
// often share the bits of the first levels.
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

// TestTrieCollisions guards against lost or misplaced entries in the collision
// lists, which hold keys with equal 64-bit hashes.
func TestTrieCollisions(t *testing.T) {
	var root *trieNode[int]
	for i, key := range []string{"b", "a", "c", "a"} {
		root, _ = root.put(&trieEntry[int]{hash: 7, key: key, value: i}, 0)
	}
	n := root
	for n.collisions == nil {
		n = n.slots[0].node
	}
	if v, ok := n.getCollision("a"); !ok || v != 3 || len(n.collisions) != 3 {
		t.Fatalf("a is %d, %d entries", v, len(n.collisions))
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
