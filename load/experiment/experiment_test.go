package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/load"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/relay"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/standin"
)

func TestExperiment(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "experiment")
}

const duration = 150 * time.Millisecond

// forwarder is an entry VM that passes lookups on to one upstream.
func forwarder(f *standin.Fleet) *httptest.Server {
	u := f.Pool("bookings")[0]
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /v1/services/{name}/{op}", func(w http.ResponseWriter, r *http.Request) {
		res, err := http.Post(u.Server.URL()+"/call/"+r.PathValue("op"), "application/json", r.Body)
		if err != nil || res.StatusCode != http.StatusOK {
			problem.New(problem.NoUpstream, problem.NotRun, "upstream").Write(w)
			return
		}
		defer func() { _ = res.Body.Close() }()
		_, _ = io.Copy(w, res.Body)
	})
	return httptest.NewServer(mux)
}

func start(_ context.Context, baseline string, _ uint64) (*Cluster, error) {
	if baseline == "broken" {
		return nil, errors.New("no such baseline")
	}
	f, err := standin.StartFleet(standin.FleetConfig{
		Name: "test", Regions: []ids.Region{"one", "two"}, TimeScale: 0.05,
		Pools: []standin.PoolConfig{
			{Name: "engines", Kind: settings.KindGenerate, Runners: map[ids.Region]int{"one": 1, "two": 1}},
			{Name: "rerankers", Kind: settings.KindRerank, Runners: map[ids.Region]int{"one": 1}},
			{Name: "bookings", Kind: settings.KindService, Runners: map[ids.Region]int{"one": 1}},
		},
	})
	if err != nil {
		return nil, err
	}
	s := forwarder(f)
	c := &Cluster{Entries: []load.Entry{{Name: "e", URL: s.URL}}, Fleet: f}
	c.Close = func() {
		s.Close()
		f.Close()
	}
	return c, nil
}

func plan(scenarios ...Scenario) Plan {
	return Plan{
		Start: start, Baselines: []string{"plain"}, Scenarios: scenarios, Seeds: []uint64{1},
		Load: load.Options{
			Workspaces: []load.Workspace{{Name: "w", Token: "t", Share: 1}},
			Mix:        []load.Profile{{Kind: load.KindLookup, Weight: 1, Deadline: time.Minute, Target: "bookings", Op: "find"}},
			Duration:   duration, RatePerSecond: 200, MaxRetries: -1,
		},
	}
}

var _ = Describe("plan", func() {
	It("gives one row for each scenario, seed and baseline", func() {
		p := plan(Scenario{Name: Steady}, Scenario{Name: "other"})
		p.Baselines = []string{"plain", "broken"}
		p.Seeds = []uint64{1, 2}
		var seen []string
		rows, err := p.Run(context.Background(), func(r Row) { seen = append(seen, fmt.Sprint(r.Scenario, r.Seed, r.Baseline)) })
		Expect(err).NotTo(HaveOccurred())
		Expect(seen).To(Equal([]string{
			"steady1plain", "steady1broken", "steady2plain", "steady2broken",
			"other1plain", "other1broken", "other2plain", "other2broken",
		}))
		Expect(rows[0].Attainment).To(Equal(1.0))
		Expect(rows[1].Error).To(ContainSubstring("no such baseline"))
		got := Summarize(rows)
		Expect(got).To(HaveLen(4))
		Expect(got[1].Errors).To(Equal(2))
		var b bytes.Buffer
		Expect(WriteJSON(&b, rows)).To(Succeed())
		Expect(bytes.Count(b.Bytes(), []byte("\n"))).To(Equal(8))
		var back Row
		Expect(json.NewDecoder(&b).Decode(&back)).To(Succeed())
		Expect(back.Report.Requests).To(Equal(rows[0].Requests))
	})

	// Guards against scenarios whose fault never reaches the upstreams, or
	// that leave them faulty.
	DescribeTable("each scenario acts on its upstreams and undoes it", func(s Scenario, during func(f *standin.Fleet) bool) {
		c, err := start(context.Background(), "plain", 1)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		env := &Env{Cluster: c, Rand: randFor(1), Duration: time.Millisecond}
		acted := false
		for _, a := range inOrder(s.Actions) {
			Expect(a.Do(context.Background(), env)).To(Succeed())
			acted = acted || during(c.Fleet)
		}
		Expect(acted).To(BeTrue())
		for _, u := range c.Fleet.Upstreams() {
			res, err := http.Get(u.Server.URL() + "/load")
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Body.Close()).To(Succeed())
			for _, kind := range []standin.FaultKind{
				standin.FaultSlow, standin.FaultSilent, standin.FaultRefuse, standin.FaultCrash,
				standin.FaultWrongLoad, standin.FaultDrain,
			} {
				Expect(u.Faulty(kind)).To(BeFalse(), string(kind))
			}
		}
	},
		Entry(StageDead, mustFind(StageDead), func(f *standin.Fleet) bool {
			_, err := http.Get(f.Pool("rerankers")[0].Server.URL() + "/load")
			return err != nil
		}),
		Entry(Straggler, mustFind(Straggler), func(f *standin.Fleet) bool { return faulty(f, standin.FaultSlow) == 1 }),
		Entry(LyingUpstream, mustFind(LyingUpstream), func(f *standin.Fleet) bool { return faulty(f, standin.FaultWrongLoad) == 1 }),
		Entry(Silent, mustFind(Silent), func(f *standin.Fleet) bool { return faulty(f, standin.FaultSilent) > 0 }),
		Entry(RollingRestart, mustFind(RollingRestart), func(*standin.Fleet) bool { return true }),
		Entry("pair", Pair(mustFind(Straggler), mustFind(StageDead)), func(f *standin.Fleet) bool {
			return faulty(f, standin.FaultSlow) == 1 && faulty(f, standin.FaultCrash) == 1
		}),
	)

	It("skips a scenario that the cluster lacks the means for", func() {
		rows, err := plan(mustFind(EntryKilled), mustFind(RegionCut)).Run(context.Background(), nil)
		Expect(err).NotTo(HaveOccurred())
		for _, r := range rows {
			Expect(r.Error).To(ContainSubstring(ErrSkipped.Error()))
		}
		Expect(Summarize(rows)[0].Runs).To(BeZero())
	})

	It("kills and starts the same entry VM, and cuts and restores the same region", func() {
		var calls []string
		c := &Cluster{Entries: make([]load.Entry, 5)}
		c.KillEntry = func(_ context.Context, i int) error { calls = append(calls, fmt.Sprint("entry", i)); return nil }
		c.StartEntry = c.KillEntry
		env := &Env{Cluster: c, Rand: randFor(3)}
		for _, a := range entryKilled() {
			Expect(a.Do(context.Background(), env)).To(Succeed())
		}
		Expect(calls).To(HaveLen(2))
		Expect(calls[0]).To(Equal(calls[1]))
		c.Network = relay.NewNetwork(0, 0)
		d := c.Network.Direction("one", "two")
		Expect(c.cut(context.Background(), "two")).To(Succeed())
		Expect(d.IsCut()).To(BeTrue())
		Expect(c.restore(context.Background(), "two")).To(Succeed())
		Expect(d.IsCut()).To(BeFalse())
	})

	It("says that a scenario was not finished when the load ended", func() {
		forever := Action{Do: func(ctx context.Context, _ *Env) error {
			<-ctx.Done()
			return ctx.Err()
		}}
		rows, err := plan(Scenario{Name: "x", Actions: []Action{forever}}).Run(context.Background(), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows[0].Unfinished).To(BeTrue())
		Expect(rows[0].Error).To(BeEmpty())
		Expect(Summarize(rows)[0].Unfinished).To(Equal(1))
	})

	// Guards against a cut of links that no traffic uses being reported as
	// withstood.
	It("does not count a cut of links that carry nothing", func() {
		p := plan(mustFind(RegionCut))
		p.Start = func(ctx context.Context, baseline string, seed uint64) (*Cluster, error) {
			c, err := start(ctx, baseline, seed)
			if err == nil {
				c.Network = relay.NewNetwork(0, 0)
				c.Network.Direction("one", "two")
			}
			return c, err
		}
		rows, err := p.Run(context.Background(), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows[0].Error).To(ContainSubstring("nothing went over the links"))
	})

	It("multiplies the load in the burst scenario", func() {
		got := mustFind(Burst).bursts(10 * time.Second)
		Expect(got).To(Equal([]load.Burst{{Start: 3 * time.Second, Duration: 4 * time.Second, Factor: 3}}))
	})

	It("has a scenario for each two faults", func() {
		Expect(Scenarios()).To(HaveLen(9))
		Expect(Pairs()).To(HaveLen(28))
	})
})

var _ = Describe("plot", func() {
	It("draws one curve for each baseline over a sweep", func() {
		p := plan()
		s := Sweep{Plan: p, Rates: []float64{100, 200}}
		rows, err := s.Run(context.Background(), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(HaveLen(2))
		rows = append(rows, Row{Baseline: "second", RatePerSecond: 100, Attainment: 0.5}, Row{Baseline: "bad", Error: "x"})
		names, curves := curvesOf(rows)
		Expect(names).To(Equal([]string{"plain", "second"}))
		Expect(curves["plain"].XYs).To(HaveLen(2))
		var b bytes.Buffer
		Expect(WriteSVG(&b, rows)).To(Succeed())
		Expect(b.String()).To(And(ContainSubstring("<svg"), ContainSubstring("second")))
	})

	It("takes the median with its spread", func() {
		m, least, most := spread([]float64{0.9, 0.2, 0.4, 0.6})
		Expect([]float64{m, least, most}).To(Equal([]float64{0.5, 0.2, 0.9}))
	})
})

func mustFind(name string) Scenario {
	s, ok := Find(name)
	if !ok {
		panic("no scenario " + name)
	}
	return s
}

func randFor(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// faulty counts the upstreams at which a fault is in force.
func faulty(f *standin.Fleet, kind standin.FaultKind) int {
	n := 0
	for _, u := range f.Upstreams() {
		if u.Faulty(kind) {
			n++
		}
	}
	return n
}
