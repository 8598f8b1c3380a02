package entry

import (
	"context"
	"net/http"
	"time"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/standin"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("orders to engines", func() {
	It("has engines load a model that a pipeline needs, under growing tokens", func() {
		b := newBenchWith(func(c *standin.FleetConfig) {
			c.WeightsBytesPerSecond = 1 << 40
			for i := range c.Pools {
				if c.Pools[i].Name == "engines" {
					c.Pools[i].Models = []string{"another-model"}
				}
			}
		})
		Eventually(func() int {
			resp, _ := b.post("/v1/pipelines/answer", PipelineRequest{Input: "x", MaxTokens: 4})
			return resp.StatusCode
		}).WithTimeout(40 * time.Second).WithPolling(200 * time.Millisecond).Should(Equal(http.StatusOK))
		Expect(b.fleet.Counters(standin.Selector{}).StaleOrders).To(BeZero())
	})

	It("gives no order after its right has ended", func() {
		b := newBench()
		snap := b.server.sub.snapshot()
		right := &orderRight{g: &orderGiver{s: b.server}, session: snap.session, until: time.Now().Add(-time.Millisecond)}
		Expect(right.guard()).To(MatchError(errTermOver))
		right.until = time.Now().Add(time.Hour)
		Expect(right.guard()).To(Succeed())
		right.session = ids.SessionID{VM: "entry-1", Incarnation: 1}
		Expect(right.guard()).To(MatchError(errTermOver), "a session that was replaced gives no order")
	})

	It("leaves an engine to the VM that holds the right", func() {
		b := newBench()
		addr := b.fleet.Pool("engines")[0].Address()
		other := ids.SessionID{VM: "entry-9", Incarnation: 1}
		_, err := b.control.Propose(context.Background(), ids.SettingsGroup, command.Command{OpenSession: &command.OpenSession{Session: other}})
		Expect(err).NotTo(HaveOccurred())
		g := &orderGiver{s: b.server}
		held := command.Command{Acquire: &command.Acquire{Upstream: addr, Session: other, TermMS: 10_000, Nonce: 1}}
		_, err = b.control.Propose(context.Background(), ids.SettingsGroup, held)
		Expect(err).NotTo(HaveOccurred())
		right, err := g.acquire(context.Background(), b.server.Session(), addr)
		Expect(err).NotTo(HaveOccurred())
		Expect(right).To(BeNil())
	})
})
