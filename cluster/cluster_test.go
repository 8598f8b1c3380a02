package cluster_test

import (
	"context"
	"testing"
	"time"

	"damaskbridge.example/damaskbridge/cluster"
	"damaskbridge.example/damaskbridge/load"
	"damaskbridge.example/damaskbridge/sample"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

func TestCluster(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "cluster")
}

var _ = ginkgo.Describe("Cluster", func() {
	ginkgo.It("answers every kind of request and runs no keyed request twice", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
		defer cancel()
		d, err := sample.ByName("dev")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		c, err := cluster.Start(ctx, cluster.Options{Deployment: d, Controls: 3, Entries: 3, Dir: ginkgo.GinkgoT().TempDir()})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer c.Close()
		report, err := load.Run(ctx, load.Options{
			Entries: c.Targets(), Workspaces: d.Workspaces, Mix: d.RelaxedMix(), RatePerSecond: 20,
			Duration: 2 * time.Second, Seed: 1, Observer: load.FleetObserver{Fleet: c.Fleet},
		})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(report.Outcomes[load.OK]).To(gomega.Equal(report.Requests), "%v %v", report.Outcomes, report.Notes)
		gomega.Expect(report.DuplicateKeys).To(gomega.BeEmpty())
	})
})
