package e2e_test

import (
	"context"
	"os"
	"testing"
	"time"

	"damaskbridge.example/damaskbridge/admin"
	"damaskbridge.example/damaskbridge/e2e"
	"damaskbridge.example/damaskbridge/load"
	"damaskbridge.example/damaskbridge/sample"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// binaries is the folder of the compiled programs.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "damask-e2e-")
	if err != nil {
		panic(err)
	}
	binaries = dir
	if err := e2e.Build(dir); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func TestEndToEnd(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "separate processes")
}

// startSystem starts 3 control and 3 entry VMs in three regions.
func startSystem(ctx context.Context) (*e2e.System, *sample.Deployment) {
	d, err := sample.ByName("guild")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	s, err := e2e.Start(ctx, e2e.Options{Deployment: d, Controls: 3, Entries: 3, Binaries: binaries, Dir: ginkgo.GinkgoT().TempDir()})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(s.Close)
	return s, d
}

// startLoad runs a load beside the test. A run that fails gives no report.
func startLoad(ctx context.Context, s *e2e.System, d *sample.Deployment, rate float64, duration time.Duration) <-chan *load.Report {
	reports := make(chan *load.Report, 1)
	go func() {
		defer close(reports)
		r, err := load.Run(ctx, load.Options{
			Entries: s.Targets(), Workspaces: d.Workspaces, Mix: d.RelaxedMix(), RatePerSecond: rate,
			Duration: duration, Seed: 1, Observer: s.Observer(),
		})
		if err == nil {
			reports <- r
		}
	}()
	return reports
}

var _ = ginkgo.Describe("three control VMs and three entry VMs as processes", ginkgo.Ordered, func() {
	ginkgo.It("cuts off no request in a rolling restart of every VM", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
		defer cancel()
		s, d := startSystem(ctx)
		reports := startLoad(ctx, s, d, 20, 30*time.Second)
		for i := range 3 {
			gomega.Expect(s.RestartEntry(ctx, i)).To(gomega.Succeed())
			gomega.Expect(s.RestartControl(ctx, i)).To(gomega.Succeed())
		}
		r := <-reports
		gomega.Expect(r).NotTo(gomega.BeNil())
		gomega.Expect(r.Outcomes[load.OK]).To(gomega.Equal(r.Requests), "%v %v %v", r.Outcomes, r.Reasons, r.Notes)
		gomega.Expect(r.DuplicateKeys).To(gomega.BeEmpty())
		gomega.Expect(r.LostKeys).To(gomega.BeEmpty())
		gomega.Expect(r.FalseRefusals).To(gomega.BeZero())
		var left admin.UnaccountedReply
		gomega.Expect(s.Operator().Get(ctx, "/v1/audit/unaccounted", nil, &left)).To(gomega.Succeed())
		gomega.Expect(left.Complete).To(gomega.BeTrue())
		gomega.Expect(left.Sessions).To(gomega.BeEmpty(), "every request of the drained sessions has an end")
		out, err := s.Ctl(ctx, "status")
		gomega.Expect(err).NotTo(gomega.HaveOccurred(), out)
	})
})
