package entry

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/problem"
)

var _ = Describe("a branch with allowed regions", func() {
	// Guards against a way to a runner on which the branch's regions are not asked
	// for: all runners are in other regions.
	It("has its requests refused as not run where it has no runner", func() {
		env := newTestEnv()
		res := env.control.applyDocument("regions", "branches:\n  guild: {routing.allowed_regions: \"elsewhere\"}\n")
		Expect(string(res.Change.State)).To(Equal("accepted"), res.Change.Detail)
		Eventually(func(g Gomega) {
			for _, send := range []func() (*http.Response, []byte){
				func() (*http.Response, []byte) {
					return env.post("/v1/pipelines/answer", PipelineRequest{Input: "where", MaxTokens: 4})
				},
				func() (*http.Response, []byte) { return env.post("/v1/services/bookings/lookup", []byte(`{}`)) },
				func() (*http.Response, []byte) {
					return env.post("/v1/services/bookings/book", []byte(`{}`), HeaderKey, "k-regions")
				},
			} {
				resp, raw := send()
				g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable), string(raw))
				g.Expect(decodeProblem(raw).Execution).To(Equal(problem.NotRun))
			}
		}).WithTimeout(20 * time.Second).Should(Succeed())
	})
})
