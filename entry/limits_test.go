package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"

	"damaskbridge.example/damaskbridge/audit"
	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/problem"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("caller input limits", func() {
	DescribeTable("rejects with bad_request before anything runs",
		func(path, body, name, value, detail string) {
			env := newHandlerEnv(GinkgoTB())
			h := http.Header{}
			if name != "" {
				h[name] = strings.Split(value, "|")
			}
			w := env.post(path, []byte(body), h)
			p := decodeProblem(w.Body.Bytes())
			Expect(p.Reason).To(Equal(problem.BadRequest), p.Detail)
			Expect(w.Code).To(Equal(http.StatusBadRequest))
			Expect(p.Execution).To(Equal(problem.NotRun))
			Expect(p.Detail).To(ContainSubstring(detail))
		},
		Entry("too many messages, which grow in each engine call", "/v1/chat/completions",
			`{"model":"answer","messages":[{}`+strings.Repeat(",{}", maxMessages)+`]}`, "", "", "the limit is 4096"),
		Entry("negative max_tokens of a pipeline", "/v1/pipelines/answer", `{"max_tokens":-1}`, "", "", "max_tokens is -1"),
		Entry("huge max_tokens of a pipeline", "/v1/pipelines/answer", `{"max_tokens":9223372036854775807}`, "", "", "want 0 to"),
		Entry("negative max_tokens next to a valid max_completion_tokens", "/v1/chat/completions",
			`{"model":"answer","messages":[{}],"max_tokens":-1,"max_completion_tokens":5}`, "", "", "max_tokens is -1"),
		Entry("huge max_completion_tokens", "/v1/chat/completions",
			`{"model":"answer","messages":[{}],"max_completion_tokens":1048577}`, "", "", "max_completion_tokens is"),
		Entry("a key that is too long", "/v1/services/bookings/book", "x", HeaderKey, strings.Repeat("k", maxKeyBytes+1), "longer than 255"),
		Entry("a key that is not UTF-8, which makes ledger commands undecodable", "/v1/services/bookings/book", "x", HeaderKey, "k\xff", "printable"),
		Entry("a key with a control character", "/v1/services/bookings/lookup", "x", HeaderKey, "k\x01", "printable"),
		Entry("two keys", "/v1/services/bookings/book", "x", HeaderKey, "one|two", "sent 2 times"),
		Entry("a content type with a control character, which cannot be sent upstream", "/v1/services/bookings/lookup", "x", "Content-Type", "a\x01", "Content-Type"),
		Entry("an operation with a query", "/v1/services/bookings/book?x=1", "x", HeaderKey, "k", "operation"),
		Entry("an operation that is not UTF-8", "/v1/services/bookings/\xff", "x", HeaderKey, "k", "operation"),
		Entry("an operation with a control character", "/v1/services/bookings/a\nb", "x", HeaderKey, "k", "operation"),
		Entry("an operation that is too long", "/v1/services/bookings/"+strings.Repeat("o", maxOpBytes+1), "x", HeaderKey, "k", "longer than 64"),
	)

	It("rejects an operation with an escaped slash, which would reach another path at the service", func() {
		env := newTestEnv()
		for _, op := range []string{"a%2Fb", "%2E%2E%2Forders", "lookup%2F..%2Fbook"} {
			resp, raw := env.post("/v1/services/bookings/"+op, []byte("x"), HeaderKey, "k")
			Expect(resp.StatusCode).To(Equal(http.StatusBadRequest), string(raw))
			Expect(decodeProblem(raw).Reason).To(Equal(problem.BadRequest), op)
		}
	})

	It("accepts the maximum values and a key with every printable character", func() {
		env := newHandlerEnv(GinkgoTB())
		key := ""
		for c := ' '; c <= '~'; c++ {
			key += string(c)
		}
		for _, w := range []int{
			env.post("/v1/pipelines/answer", []byte(`{"max_tokens":1048576}`), nil).Code,
			env.post("/v1/services/bookings/book", nil, http.Header{HeaderKey: {key}}).Code,
		} {
			Expect(w).To(Equal(http.StatusServiceUnavailable), "there is no upstream")
		}
	})

	DescribeTable("writes a storable audit record for any path",
		func(name string) {
			env := newHandlerEnv(GinkgoTB())
			w := env.post("/v1/pipelines/"+name, []byte(`{}`), nil)
			Expect(w.Code).To(Equal(http.StatusNotFound))
			records := env.recorder.recordsOf(w.Header().Get(HeaderRequest))
			Expect(records).To(HaveLen(2))
			Expect(records[0].Kind).To(Equal(audit.Begin))
			Expect(roundTrip(&records[0])).To(Succeed())
		},
		Entry("bytes that are not UTF-8, which the audit log cannot decode", "\xff\xfe"),
		Entry("a path longer than the record limit, which would lose the record", strings.Repeat("a", 66<<10)),
		Entry("a path that grows when escaped", strings.Repeat("\x01", 1<<10)),
	)

	It("does not report a stream as complete when resumed after an event that was never sent", func() {
		env := newTestEnv()
		resp, raw := env.post("/v1/pipelines/answer", PipelineRequest{Input: "x", MaxTokens: 20, Stream: true})
		Expect(resp.StatusCode).To(Equal(http.StatusOK), string(raw))
		tokens, _ := readEvents(raw)
		resume := func(event uint64) *http.Response {
			req, err := http.NewRequest(http.MethodGet, resp.Header.Get(HeaderResumeURL), nil)
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Authorization", "Bearer "+testToken)
			req.Header.Set("Last-Event-ID", strconv.FormatUint(event, 10))
			again, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(again.Body.Close)
			return again
		}
		count := uint64(len(tokens))
		for _, event := range []uint64{count + 2, 1 << 63, math.MaxUint64} {
			Expect(resume(event).StatusCode).To(Equal(http.StatusBadRequest))
		}
		for _, event := range []uint64{count, count + 1} {
			last, err := io.ReadAll(resume(event).Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(last)).To(HavePrefix(fmt.Sprintf("id: %d\nevent: done\n", count+1)))
		}
	})

	It("leaves a printable path unchanged in the audit record", func() {
		Expect(auditPath("/v1/pipelines/answer")).To(Equal("/v1/pipelines/answer"))
	})

	It("replays a service's own problem as its response, not as a problem of this system", func() {
		body, err := json.Marshal(problem.New(problem.OutcomeUnknown, problem.NotRun, "of the service"))
		Expect(err).NotTo(HaveOccurred())
		result := storedResult(&command.Answer{Status: http.StatusBadGateway, ContentType: problem.ContentType, Body: body})
		Expect(result.err).NotTo(HaveOccurred())
		Expect(result.answer.Body).To(Equal(body))
		own, err := json.Marshal(problem.New(problem.OutcomeUnknown, problem.Unknown, "x"))
		Expect(err).NotTo(HaveOccurred())
		result = storedResult(&command.Answer{Status: http.StatusBadGateway, ContentType: problem.ContentType, Body: own})
		Expect(result.err).To(HaveOccurred())
	})
})
