package settings

import "testing"

// FuzzDocument guards against a document that panics the parser, and against
// operations that do not change a tree to match the document.
func FuzzDocument(f *testing.F) {
	f.Add([]byte(sampleDocument))
	f.Add([]byte("branches:\n  \"\": {deadline.default: 4s}\n"))
	f.Add([]byte("pools: [{name: a, kind: encode}, {name: a}]\n"))
	f.Add([]byte("pools: [{name: p, kind: generate}]\npipelines: [{name: q, stages: [{name: s, kind: generate, pool: p, model: \"a:\\u00e9\\n\\0#\", adapter: ' x'}]}]\n"))
	f.Add([]byte("pools: &x\n  - *x\n"))
	f.Add([]byte("branches: {a: {b: [1]}}\n---\n"))
	f.Add([]byte("workspaces:\n- name: !!binary x\n"))
	f.Fuzz(func(t *testing.T, doc []byte) {
		ops, err := ParseDocument("d.yaml", doc, NewTree())
		if err != nil || len(ops) == 0 {
			return
		}
		tree, r := NewTree().Apply(Change{ID: "d", Ops: ops})
		if r.State != Accepted {
			t.Fatalf("the operations of a valid document are rejected: %s", r.Detail)
		}
		rest, err := ParseDocument("d.yaml", doc, tree)
		if err != nil || len(rest) > 0 {
			t.Fatalf("the document still differs from the tree after it was applied: %v, error %v", rest, err)
		}
		written := tree.Document()
		if rest, err = ParseDocument("d.yaml", written, tree); err != nil || len(rest) > 0 {
			t.Fatalf("the exported document differs from its tree: %v, error %v:\n%s", rest, err, written)
		}
	})
}
