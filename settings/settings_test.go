package settings

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "400")
	_ = flag.Set("rapid.nofailfile", "true")
}

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

var digestA, digestB = strings.Repeat("a", 64), strings.Repeat("b", 64)

// sampleTree returns a tree at version 1 with resources of every kind.
func sampleTree() *Tree {
	t, r := NewTree().Apply(Change{ID: "sample", Ops: []Op{
		{Kind: PutPool, Pool: &Pool{Name: "enc", Kind: KindEncode}},
		{Kind: PutPool, Pool: &Pool{Name: "llm", Kind: KindGenerate}},
		{Kind: PutPool, Pool: &Pool{Name: "book", Kind: KindService}},
		{Kind: PutPipeline, Pipeline: &Pipeline{Name: "draft", Stages: []Stage{
			{Name: "e", Kind: KindEncode, Pool: "enc"}, {Name: "g", Kind: KindGenerate, Pool: "llm", Model: "m"},
		}}},
		{Kind: PutService, Service: &Service{Name: "bookings", Pool: "book"}},
		{Kind: PutWorkspace, Workspace: &Workspace{Name: "w", Branch: "guild/w", TokenSHA256: []string{digestA}, Pipelines: []string{"draft"}, Services: []string{"bookings"}}},
	}})
	Expect(r.State).To(Equal(Accepted), r.Detail)
	return t
}

func set(branch string, key Key, value string) Op {
	return Op{Kind: SetValue, Branch: branch, Key: key, Value: value}
}

var _ = Describe("values", func() {
	It("are inherited and overridden, and name their origin", func() {
		t, r := sampleTree().Apply(Change{ID: "c", Base: 1, Ops: []Op{
			set("", DeadlineDefault, "4s"), set("guild", DeadlineDefault, "3s"), set("guild/w/draft/g", DeadlineDefault, "250ms"),
		}})
		Expect(r.State).To(Equal(Accepted), r.Detail)
		w, _ := t.WorkspaceByToken(digestA)
		stage := StageBranch(w, "draft", "g")
		Expect(t.Duration(stage, DeadlineDefault)).To(Equal(250 * time.Millisecond))
		Expect(t.Duration("guild/w/draft/e", DeadlineDefault)).To(Equal(3 * time.Second))
		Expect(t.Effective("guild/other", DeadlineDefault)).To(Equal(EffectiveValue{Value: "3s", Branch: "guild", Version: 2}))
		Expect(t.Effective("nile", DeadlineDefault)).To(Equal(EffectiveValue{Value: "4s", Version: 2}))
		Expect(t.Effective("nile", HedgeEnabled)).To(Equal(EffectiveValue{Value: "true", Default: true}))
		Expect(t.Int("nile", BodyMaxBytes)).To(BeEquivalentTo(1 << 20))
		Expect(t.Bool("nile", HedgeEnabled)).To(BeTrue())
	})
})

var _ = DescribeTable("an invalid change is rejected with the subject, the key and the remedy",
	func(op Op, parts ...string) {
		before := sampleTree()
		t, r := before.Apply(Change{ID: "c", Base: 1, Ops: []Op{op}})
		Expect(r.State).To(Equal(Invalid))
		Expect(t.Version()).To(Equal(uint64(1)))
		for _, p := range parts {
			Expect(r.Detail).To(ContainSubstring(p))
		}
	},
	Entry("unknown key", set("guild", "deadline.defualt", "1s"), `branch "guild"`, "deadline.defualt", "not known", "use a key"),
	Entry("wrong unit", set("guild", DeadlineDefault, "500"), "deadline.default", "not a duration", "500ms"),
	Entry("out of bounds", set("", EjectionMaxPercent, "51"), "root branch", "from 0 to 50"),
	Entry("value above the maximum set by another key", set("guild", DeadlineDefault, "10m"), `branch "guild"`, "above deadline.max", "lower it or raise"),
	Entry("value above the default of another key", set("", AdmissionMinLimit, "2000"), "admission.min_limit", "above admission.max_limit 1000"),
	Entry("root-only key on another branch", set("guild", LedgerGroups, "1"), "ledger.groups", "root branch"),
	Entry("more ledger groups than entry VMs use", set("", LedgerGroups, "2"), "ledger.groups", "from 1 to 1"),
	Entry("ledger groups after the first change", set("", LedgerGroups, "1"), "ledger.groups", "fixed by the first change"),
	Entry("missing pool", Op{Kind: PutPipeline, Pipeline: &Pipeline{Name: "p", Stages: []Stage{{Name: "s", Kind: KindRerank, Pool: "none"}}}}, `pipeline "p"`, "stage s", `pool "none" does not exist`),
	Entry("pool of another kind", Op{Kind: PutPipeline, Pipeline: &Pipeline{Name: "p", Stages: []Stage{{Name: "s", Kind: KindRerank, Pool: "enc"}}}}, "kind encode", "kind rerank is needed"),
	Entry("pool whose kind changes while a stage uses it", Op{Kind: PutPool, Pool: &Pool{Name: "enc", Kind: KindRerank}}, `pipeline "draft"`, "stage e"),
	Entry("workspace bound to a missing pipeline", Op{Kind: PutWorkspace, Workspace: &Workspace{Name: "v", Branch: "v", Pipelines: []string{"none"}}}, `workspace "v"`, "pipelines", `"none" does not exist`),
	Entry("workspace bound to a missing service", Op{Kind: PutWorkspace, Workspace: &Workspace{Name: "v", Branch: "v", Services: []string{"none"}}}, `workspace "v"`, "services"),
	Entry("token of another workspace", Op{Kind: PutWorkspace, Workspace: &Workspace{Name: "v", Branch: "v", TokenSHA256: []string{digestA}}}, `workspace "w"`, "token_sha256", "belongs to"),
	Entry("deletion of a pipeline that is in use", Op{Kind: DeletePipeline, Name: "draft"}, `pipeline "draft"`, "cannot be deleted", `workspace "w"`),
	Entry("deletion of a pool that is in use", Op{Kind: DeletePool, Name: "book"}, `pool "book"`, `service "bookings"`),
	Entry("operation without its resource", Op{Kind: PutPool}, "put_pool", "no resource"),
	Entry("unknown operation", Op{Kind: "merge"}, `operation "merge"`),
)

var _ = Describe("change ids", func() {
	It("return the stored result for a repeated change and the winning change of a conflict", func() {
		t := sampleTree()
		first := Change{ID: "a", Operator: "ada", Base: 1, Ops: []Op{set("", DeadlineDefault, "4s")}}
		late := Change{ID: "b", Operator: "bo", Base: 1, Ops: []Op{set("", DeadlineDefault, "3s")}}
		t, accepted := t.Apply(first)
		t, conflict := t.Apply(late)
		Expect(conflict.State).To(Equal(Conflict))
		Expect(conflict.Winner.ID).To(Equal("a"))
		t, _ = t.Apply(Change{ID: "c", Base: 2, Ops: []Op{set("", DeadlineDefault, "2s")}})
		bytes, err := t.EncodeAll()
		Expect(err).NotTo(HaveOccurred())
		restored, err := DecodeTree(bytes)
		Expect(err).NotTo(HaveOccurred())
		for _, tree := range []*Tree{t, restored} {
			again, r := tree.Apply(first)
			Expect(r).To(Equal(accepted))
			Expect(again).To(BeIdenticalTo(tree))
			_, r = tree.Apply(late)
			Expect(r.State).To(Equal(Conflict))
			Expect(r.Winner.ID).To(Equal("a"))
		}
		_, other := t.Apply(Change{ID: "a", Operator: "bo", Base: 3, Ops: late.Ops})
		Expect(other.State).To(Equal(Invalid))
		Expect(other.Detail).To(ContainSubstring("use a new id"))
	})

	It("limit the operations shown of a large winning change", func() {
		ops := make([]Op, maxWinnerOps+1)
		for i := range ops {
			ops[i] = set(fmt.Sprint("b", i), HedgeEnabled, "true")
		}
		t, _ := NewTree().Apply(Change{ID: "large", Ops: ops})
		_, r := t.Apply(Change{ID: "late", Ops: ops})
		Expect(r.Winner.Ops).To(HaveLen(maxWinnerOps))
		Expect(r.Detail).To(ContainSubstring("100 of the winning change's 101 operations"))
		Expect(t.History(0, 1)[0].Ops).To(HaveLen(maxWinnerOps + 1))
	})

	It("do not prevent the replay and decoding of values from a newer release", func() {
		newer := []Op{set("", "new.key", "1"), set("", DeadlineMax, "90h"), set("", PriorityDefault, "urgent")}
		t, err := NewTree().Replay([]Change{{Version: 1, Ops: newer}})
		Expect(err).NotTo(HaveOccurred())
		b, err := t.Encode()
		Expect(err).NotTo(HaveOccurred())
		t, err = DecodeTree(b)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.Duration("", DeadlineMax)).To(Equal(90 * time.Hour))
		Expect(t.String("", PriorityDefault)).To(Equal("urgent"))
		Expect(t.Validate()).To(MatchError(And(ContainSubstring("new.key"), ContainSubstring("deadline.max"), ContainSubstring("priority.default"))))
	})

	It("report a winning change that is older than the bounded history", func() {
		t := NewTree()
		for n := range uint64(maxHistory + 3) {
			t, _ = t.Apply(Change{ID: fmt.Sprint(n), Base: n, Ops: []Op{set("", HedgeEnabled, "true")}})
		}
		Expect(t.Version()).To(Equal(uint64(maxHistory + 3)))
		_, ok := t.Since(2)
		Expect(ok).To(BeFalse())
		changes, ok := t.Since(3)
		Expect(ok).To(BeTrue())
		Expect(changes).To(HaveLen(maxHistory))
		Expect(changes[0].Version).To(Equal(uint64(4)))
		_, r := t.Apply(Change{ID: "old", Base: 2, Ops: []Op{set("", HedgeEnabled, "true")}})
		Expect(r.State).To(Equal(Conflict))
		Expect(r.Winner).To(BeNil())
		Expect(r.Detail).To(ContainSubstring("the winning change 3 is older than the history"))
	})

	It("keep their results for 30 days and for at least 100,000 changes", func() {
		t := NewTree()
		add := func(n int, at int64) {
			t = t.recordOutcome(&outcome{id: fmt.Sprint(n), state: Invalid, atUnixMS: at})
		}
		for n := range minOutcomes + 10 {
			add(n, 0)
		}
		_, ok := t.Result("0")
		Expect(ok).To(BeTrue(), "a result younger than 30 days is kept beyond 100,000")
		month := outcomeRetention.Milliseconds()
		for n := range 10 {
			add(minOutcomes+10+n, month+1)
		}
		_, ok = t.Result("0")
		Expect(ok).To(BeFalse())
		Expect(t.outcomes.len()).To(Equal(minOutcomes))
		Expect(t.byID.size).To(Equal(minOutcomes))
	})
})

const sampleDocument = `
branches:
  "":
    deadline.default: 4s
    retry.max_attempts: 2
  guild/w:
    hedge.enabled: false
pools:
  - {name: enc, kind: encode}
  - {name: llm, kind: generate, checks_fencing: true}
pipelines:
  - name: draft
    stages:
      - {name: e, kind: encode, pool: enc}
      - {name: g, kind: generate, pool: llm, model: m}
services: []
workspaces:
  - name: w
    branch: guild/w
    token_sha256: [` + "\"bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb\"" + `]
    pipelines: [draft]
`

var _ = Describe("documents", func() {
	It("change any base tree to match the document", func() {
		for _, base := range []*Tree{NewTree(), sampleTree()} {
			ops, err := ParseDocument("d.yaml", []byte(sampleDocument), base)
			Expect(err).NotTo(HaveOccurred())
			t, r := base.Apply(Change{ID: "d", Base: base.Version(), Ops: ops})
			Expect(r.State).To(Equal(Accepted), r.Detail)
			Expect(t.Services()).To(BeEmpty())
			Expect(t.Int("", RetryMaxAttempts)).To(BeEquivalentTo(2))
			Expect(t.Bool("guild/w", HedgeEnabled)).To(BeFalse())
			_, ok := t.WorkspaceByToken(digestB)
			Expect(ok).To(BeTrue())
			rest, err := ParseDocument("d.yaml", []byte(sampleDocument), t)
			Expect(err).NotTo(HaveOccurred())
			Expect(rest).To(BeEmpty())
		}
	})

	It("preserve names that YAML would read as another type", func() {
		var ops []Op
		for _, name := range []string{"null", "true", "on", "No", "1", "1e3", "0x10", "0b1", "1_000", ".5", ".inf", "2026-01-01", "-", "--", "---", "-1", "...", "y"} {
			ops = append(ops, set(name+"/"+name, HedgeEnabled, "true"), set(name, RetryMaxAttempts, "3"),
				Op{Kind: PutPool, Pool: &Pool{Name: name, Kind: KindService}},
				Op{Kind: PutService, Service: &Service{Name: name, Pool: name, RepeatableOps: []string{name}}},
				Op{Kind: PutWorkspace, Workspace: &Workspace{Name: name, Branch: name, Services: []string{name}}})
		}
		t, r := NewTree().Apply(Change{ID: "names", Ops: ops})
		Expect(r.State).To(Equal(Accepted), r.Detail)
		doc := t.Document()
		rest, err := ParseDocument("d.yaml", doc, t)
		Expect(err).NotTo(HaveOccurred(), string(doc))
		Expect(rest).To(BeEmpty(), string(doc))
	})

	It("leave absent sections unchanged", func() {
		ops, err := ParseDocument("d.yaml", []byte("branches:\n  guild: {deadline.default: 2s}\n"), sampleTree())
		Expect(err).NotTo(HaveOccurred())
		Expect(ops).To(HaveLen(1))
	})

	DescribeTable("report errors with file and line", func(doc, want string) {
		_, err := ParseDocument("d.yaml", []byte(doc), sampleTree())
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
		Entry("syntax", "branches:\n\t- x", "d.yaml:2: "),
		Entry("unknown section", "pools: []\nnodes: []\n", `d.yaml:2: section "nodes"`),
		Entry("unknown field", "pools:\n  - name: a\n    kind: encode\n    color: red\n", `d.yaml:4: unknown field "color"`),
		Entry("unknown key", "branches:\n  guild:\n    deadline.max: 9s\n    x.y: 1\n", `d.yaml:4: branch "guild", x.y: the key is not known`),
		Entry("wrong unit", "branches:\n  guild:\n    deadline.max: 9\n", `d.yaml:3: branch "guild", deadline.max: "9" is not a duration`),
		Entry("missing pool", "pipelines:\n  - name: draft\n    stages:\n      - {name: e, kind: encode, pool: enc}\n      - {name: r, kind: rerank, pool: none}\n", `d.yaml:5: pipeline "draft", stage r: pool "none"`),
		Entry("binding of a missing service", "workspaces:\n  - name: w\n    branch: w\n    token_sha256: []\n    services: [bookings, none]\n", `d.yaml:5: workspace "w", services: "none"`),
		Entry("listed twice", "pools:\n  - {name: a, kind: encode}\n  - {name: a, kind: encode}\n", `d.yaml:3: pool "a": it is listed twice`),
		Entry("key set twice", "branches:\n  guild:\n    deadline.max: 9s\n    deadline.max: 8s\n", "d.yaml:4: "),
		Entry("deletion of a pipeline that is in use", "pipelines: []\n", `d.yaml: pipeline "draft": it cannot be deleted`),
		Entry("empty", "", "provide exactly one"),
	)
})
