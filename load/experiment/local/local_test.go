package local

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/load"
	"damaskbridge.example/damaskbridge/load/experiment"
	"damaskbridge.example/damaskbridge/sample"
)

func TestLocal(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "local")
}

var _ = Describe("deployments in this process", func() {
	// Guards against a baseline that is taken for another, and against runs
	// whose entry VMs or upstreams are not those of the row.
	It("gives a valid row for a known baseline and an error for another", func() {
		d, err := sample.ByName("dev")
		Expect(err).NotTo(HaveOccurred())
		steady, ok := experiment.Find(experiment.Steady)
		Expect(ok).To(BeTrue())
		p := experiment.Plan{
			Start:     Start(Options{Deployment: "dev", Controls: 1, Entries: 2, TimeScale: 0.1}),
			Baselines: []string{"bare", "none"}, Scenarios: []experiment.Scenario{steady}, Seeds: []uint64{1},
			Load: load.Options{Workspaces: d.Workspaces, Mix: d.Mix, RatePerSecond: 60, Duration: 300 * time.Millisecond},
		}
		rows, err := p.Run(context.Background(), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows[0].Error).To(BeEmpty())
		Expect(rows[0].Requests).To(BeNumerically(">", 5))
		Expect(rows[0].Violations).To(BeZero())
		Expect(rows[0].Report.Entries).To(HaveLen(2))
		Expect(rows[1].Error).To(ContainSubstring(`baseline "none" is not known`))
	})

	It("checks its options", func() {
		Expect(Options{Deployment: "dev", Controls: 1, Entries: 1}.Check()).To(Succeed())
		Expect(Options{Deployment: "moon", Controls: 1, Entries: 1}.Check()).To(MatchError(ContainSubstring("moon")))
		Expect(Options{Deployment: "dev"}.Check()).To(MatchError(ContainSubstring("must be above 0")))
	})
})
