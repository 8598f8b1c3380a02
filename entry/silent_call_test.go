package entry

import (
	"net/http"
	"strings"
	"time"

	"damaskbridge.example/damaskbridge/audit"
	"damaskbridge.example/damaskbridge/standin"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A sound runner may be silent for a second or so and go on.
var _ = Describe("a call whose runner is silent and goes on", func() {
	newEnv := func(slow standin.Selector, silence time.Duration) *testEnv {
		env := newTestEnv()
		env.applySettings("short timeout", strings.Replace(testDocument(), "stream.token_gap: 5s", "upstream.progress_timeout: 100ms\n    hedge.enabled: false", 1))
		Expect(env.fleet.Fault(slow, standin.Fault{Kind: standin.FaultLate, DelayMS: int(silence.Milliseconds())})).To(Succeed())
		return env
	}
	spend := func(env *testEnv, pool string) {
		for env.server.retryBudgets.forPool(pool).TrySpend(time.Now()) {
		}
	}
	callService := func(env *testEnv, op string) {
		resp, raw := env.post("/v1/services/bookings/"+op, []byte("slot"), HeaderKey, "key-1")
		Expect(resp.StatusCode).To(Equal(http.StatusOK), string(raw))
	}

	// Guards against a call that fails although its runner is sound, because no
	// other attempt may start.
	DescribeTable("is answered with the retry budget spent", func(pool string, call func(*testEnv)) {
		env := newEnv(standin.Selector{Pool: pool}, longSilence)
		spend(env, pool)
		call(env)
	},
		Entry("at a stage", "rerankers", func(env *testEnv) { expectWhole(env.ask(false)) }),
		Entry("at a service, if it may be repeated", "bookings", func(env *testEnv) { callService(env, "lookup") }),
		Entry("at a service, if it may not be repeated", "bookings", func(env *testEnv) {
			callService(env, "book")
			Expect(env.fleet.Executions("key-1")).To(Equal(1))
		}),
	)

	It("is answered by another runner that is faster, and the silent one's attempt ends as such", func() {
		env := newEnv(standin.Selector{VM: "rerankers-one-1"}, time.Minute)
		got := expectWhole(env.ask(false))
		Eventually(func() []audit.Outcome { return env.outcomes(got.request, "rerankers-one-1") }).WithTimeout(10 * time.Second).Should(Equal([]audit.Outcome{audit.Unknown}))
		Expect(env.outcomes(got.request, "rerankers-two-1")).To(Equal([]audit.Outcome{audit.OK}))
	})
})
