package settings

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"

	"damaskbridge.example/damaskbridge/internal/cbormode"
)

const (
	benchWorkspaces = 19_000
	benchPipelines  = 34
)

// benchTree returns a tree of the target size: 34 pipelines of 3 to 6 stages
// and 19,000 workspaces, of which one in ten sets a value.
var benchTree = sync.OnceValue(func() *Tree {
	var ops []Op
	kinds := []StageKind{KindEncode, KindRetrieve, KindRerank, KindGenerate}
	for _, k := range kinds {
		ops = append(ops, Op{Kind: PutPool, Pool: &Pool{Name: "pool-" + string(k), Kind: k}})
	}
	for p := range benchPipelines {
		var stages []Stage
		for s := range 2 + p%4 {
			k := kinds[s%3]
			stages = append(stages, Stage{Name: fmt.Sprint("stage-", s), Kind: k, Pool: "pool-" + string(k)})
		}
		stages = append(stages, Stage{Name: "generate", Kind: KindGenerate, Pool: "pool-generate", Model: fmt.Sprint("model-", p%6)})
		ops = append(ops, Op{Kind: PutPipeline, Pipeline: &Pipeline{Name: fmt.Sprint("pipeline-", p), Stages: stages}})
	}
	for w := range benchWorkspaces {
		name := fmt.Sprintf("workspace-%05d", w)
		ops = append(ops, Op{Kind: PutWorkspace, Workspace: &Workspace{
			Name: name, Branch: "tenants/" + name,
			TokenSHA256: []string{fmt.Sprintf("%x", sha256.Sum256([]byte(name)))},
			Pipelines:   []string{fmt.Sprint("pipeline-", w%benchPipelines), fmt.Sprint("pipeline-", (w+1)%benchPipelines)},
		}})
		if w%10 == 0 {
			ops = append(ops, Op{Kind: SetValue, Branch: "tenants/" + name, Key: WorkspaceWeight, Value: "2"})
		}
	}
	t, r := NewTree().Apply(Change{ID: "bench", Operator: "bench", Ops: ops})
	if r.State != Accepted {
		panic(r.Detail)
	}
	return t
})

// BenchmarkChange measures one change to a tree of the target size.
func BenchmarkChange(b *testing.B) {
	for name, op := range map[string]func(i int) Op{
		"value-of-a-workspace": func(i int) Op {
			return set(fmt.Sprintf("tenants/workspace-%05d", i%benchWorkspaces), DeadlineDefault, "3s")
		},
		"value-of-the-root": func(i int) Op { return set("", DeadlineDefault, fmt.Sprintf("%ds", 1+i%9)) },
		"workspace": func(i int) Op {
			name := fmt.Sprintf("new-%05d", i)
			return Op{Kind: PutWorkspace, Workspace: &Workspace{Name: name, Branch: "tenants/" + name, Pipelines: []string{"pipeline-1"}}}
		},
	} {
		b.Run(name, func(b *testing.B) {
			t := benchTree()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				next, r := t.Apply(Change{ID: fmt.Sprint(i), Operator: "bench", Base: t.Version(), Ops: []Op{op(i)}})
				if r.State != Accepted {
					b.Fatal(r.Detail)
				}
				t = next
			}
			delta, err := cbormode.Deterministic.Marshal(t.History(0, 1)[0])
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(delta)), "delta-B")
		})
	}
}

// BenchmarkEncode measures the encoding of a whole tree for an entry VM that is
// too far behind for deltas.
func BenchmarkEncode(b *testing.B) {
	t := benchTree()
	var n int
	for b.Loop() {
		out, err := t.encode(t.toFile()) // Encode would return its cached result.
		if err != nil {
			b.Fatal(err)
		}
		n = len(out)
	}
	b.ReportMetric(float64(n), "tree-B")
}

// BenchmarkDecode measures the decoding of a whole tree and reports the heap
// memory that the tree uses.
func BenchmarkDecode(b *testing.B) {
	encoded, err := benchTree().Encode()
	if err != nil {
		b.Fatal(err)
	}
	before := heapBytes()
	t, err := DecodeTree(encoded)
	if err != nil {
		b.Fatal(err)
	}
	heap := heapBytes() - before
	runtime.KeepAlive(t)
	for b.Loop() {
		if _, err := DecodeTree(encoded); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(heap), "heap-B")
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // Finishes the sweep of the first collection.
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkLookup measures the lookups that each request makes.
func BenchmarkLookup(b *testing.B) {
	t := benchTree()
	digest := fmt.Sprintf("%x", sha256.Sum256([]byte("workspace-09000")))
	b.Run("workspace-by-token", func(b *testing.B) {
		for b.Loop() {
			if _, ok := t.WorkspaceByToken(digest); !ok {
				b.Fatal("no workspace")
			}
		}
	})
	b.Run("duration-of-a-stage", func(b *testing.B) {
		for b.Loop() {
			t.Duration("tenants/workspace-09000/pipeline-1/stage-1", DeadlineDefault)
		}
	})
	b.Run("effective", func(b *testing.B) {
		for b.Loop() {
			t.Effective("tenants/workspace-09000/pipeline-1/stage-1", WorkspaceWeight)
		}
	})
}

// BenchmarkDocument measures the parsing of a document with all workspaces of
// the target size, one of which differs from the tree.
func BenchmarkDocument(b *testing.B) {
	var doc bytes.Buffer
	doc.WriteString("workspaces:\n")
	for _, w := range benchTree().Workspaces() {
		if w.Name == "workspace-00007" {
			w.Branch = "moved"
		}
		fmt.Fprintf(&doc, "  - name: %s\n    branch: %s\n    token_sha256: [%q]\n    pipelines: [%s]\n", w.Name, w.Branch, w.TokenSHA256[0], strings.Join(w.Pipelines, ", "))
	}
	b.ResetTimer()
	for b.Loop() {
		ops, err := ParseDocument("d.yaml", doc.Bytes(), benchTree())
		if err != nil || len(ops) != 1 {
			b.Fatal(len(ops), err)
		}
	}
	b.ReportMetric(float64(doc.Len()), "document-B")
}
