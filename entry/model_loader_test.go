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

var _ = Describe("model loader", func() {
	It("orders engines to load a model that a pipeline needs, with increasing fencing tokens", func() {
		env := newTestEnvWithFleet(func(c *standin.FleetConfig) {
			c.WeightsBytesPerSecond = 1 << 40
			for i := range c.Pools {
				if c.Pools[i].Name == "engines" {
					c.Pools[i].Models = []string{"another-model"}
				}
			}
		})
		Eventually(func() int {
			resp, _ := env.post("/v1/pipelines/answer", PipelineRequest{Input: "x", MaxTokens: 4})
			return resp.StatusCode
		}).WithTimeout(40 * time.Second).WithPolling(200 * time.Millisecond).Should(Equal(http.StatusOK))
		Expect(env.fleet.Counters(standin.Selector{}).StaleOrders).To(BeZero())
	})

	It("sends no order after its order lease has ended", func() {
		env := newTestEnv()
		snap := env.server.subscriber.snapshot()
		lease := &orderLease{loader: &modelLoader{s: env.server}, session: snap.session, until: time.Now().Add(-time.Millisecond)}
		Expect(lease.guard()).To(MatchError(errOrderLeaseLost))
		lease.until = time.Now().Add(time.Hour)
		Expect(lease.guard()).To(Succeed())
		lease.session = ids.SessionID{VM: "entry-1", Incarnation: 1}
		Expect(lease.guard()).To(MatchError(errOrderLeaseLost), "a replaced session must send no order")
	})

	It("leaves an engine to the VM that holds its order lease", func() {
		env := newTestEnv()
		addr := env.fleet.Pool("engines")[0].Address()
		other := ids.SessionID{VM: "entry-9", Incarnation: 1}
		_, err := env.control.Propose(context.Background(), ids.SettingsGroup, command.Command{OpenSession: &command.OpenSession{Session: other}})
		Expect(err).NotTo(HaveOccurred())
		loader := &modelLoader{s: env.server}
		held := command.Command{AcquireLease: &command.AcquireLease{Upstream: addr, Session: other, TermMS: 10_000, Nonce: 1}}
		_, err = env.control.Propose(context.Background(), ids.SettingsGroup, held)
		Expect(err).NotTo(HaveOccurred())
		lease, err := loader.acquireLease(context.Background(), env.server.Session(), addr)
		Expect(err).NotTo(HaveOccurred())
		Expect(lease).To(BeNil())
	})
})
