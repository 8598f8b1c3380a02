package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/standin"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a drain", func() {
	// The requests of these tests have a deadline of 20 s.
	const drainTimeout = 4 * time.Second
	drain := func(env *testEnv) <-chan error {
		env.server.opts.DrainTimeout = drainTimeout
		done := make(chan error, 1)
		go func() { done <- env.server.Drain(context.Background()) }()
		return done
	}
	const chat = `{"model":"answer","messages":[{"role":"user","content":"x"}],"max_tokens":4}`
	// begin sends a request up to the given end of its head.
	begin := func(env *testEnv, path, header, end string) net.Conn {
		GinkgoHelper()
		c, err := net.Dial("tcp", env.server.Addr())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s%s", path, testToken, header, end)
		Expect(err).NotTo(HaveOccurred())
		return c
	}
	head := func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) }
	read := func(c net.Conn) (int, []byte) {
		GinkgoHelper()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode, body
	}
	// awaitClosed waits until the listener is closed.
	awaitClosed := func(env *testEnv) {
		GinkgoHelper()
		Eventually(func() error {
			c, err := net.Dial("tcp", env.server.Addr())
			if err == nil {
				_ = c.Close()
			}
			return err
		}).WithTimeout(10 * time.Second).Should(HaveOccurred())
	}
	holdBack := func(env *testEnv, pool string) {
		GinkgoHelper()
		late := standin.Fault{Kind: standin.FaultLate, DelayMS: 60_000}
		Expect(env.fleet.Fault(standin.Selector{Pool: pool}, late)).To(Succeed())
	}

	// Guards against requests that run while their VM ends and are cut.
	It("passes nothing on that may not end before the drain", func() {
		env := newTestEnv()
		bodies := map[string]string{"/v1/services/bookings/book": "{}", "/v1/pipelines/answer": `{"input":"x","max_tokens":4}`, "/v1/chat/completions": chat}
		conns := map[string]net.Conn{}
		for path, body := range bodies {
			c := begin(env, path, HeaderKey+": late\r\nExpect: 100-continue\r\n", fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)))
			_, err := io.ReadFull(c, make([]byte, len("HTTP/1.1 100 Continue\r\n\r\n")))
			Expect(err).NotTo(HaveOccurred())
			conns[path] = c
		}
		done := drain(env)
		awaitClosed(env)
		for path, c := range conns {
			_, err := io.WriteString(c, bodies[path])
			Expect(err).NotTo(HaveOccurred())
			status, raw := read(c)
			Expect(status).To(Equal(http.StatusServiceUnavailable), path+string(raw))
			p := decodeProblem(raw)
			Expect(p.Reason).To(Equal(problem.Draining))
			Expect(p.Execution).To(Equal(problem.NotRun))
			Expect(p.RetryAfterMS).To(And(BeNumerically(">", 0), BeNumerically("<", 100)))
		}
		Expect(env.fleet.Executions("late")).To(BeZero())
		Eventually(done).WithTimeout(20 * time.Second).Should(Receive(BeNil()))
	})

	DescribeTable("takes a request", func(afterClose, repeatable, endsInTime, taken bool) {
		begun := time.Now()
		plan := newDrainPlan(begun, 3*time.Second, 30*time.Second)
		now, deadline := begun, plan.requestsEnd
		if afterClose {
			now = plan.listenerCloses
		}
		if !endsInTime {
			deadline = deadline.Add(1)
		}
		Expect(plan.mayBegin(now, deadline, repeatable)).To(Equal(taken))
	},
		Entry("that ends in time", true, false, true, true),
		Entry("that may be repeated, while the listener is open", false, true, false, true),
		Entry("that may not be repeated, while the listener is open", false, false, false, false),
		Entry("that may be repeated, later", true, true, false, false),
	)

	// Guards against connections that are cut at the end without a response.
	It("answers requests that still run at its end as possibly executed", func() {
		env := newTestEnv()
		holdBack(env, "bookings")
		holdBack(env, "encoders")
		conns := []net.Conn{
			begin(env, "/v1/services/bookings/book", HeaderKey+": slow\r\n", head("{}")),
			begin(env, "/v1/services/bookings/lookup", "", head("slot")),
			begin(env, "/v1/pipelines/answer", "", head(`{"input":"x","max_tokens":4}`)),
			begin(env, "/v1/pipelines/answer", "", head(`{"input":"x","max_tokens":4,"stream":true}`)),
			begin(env, "/v1/chat/completions", "", head(chat)),
		}
		Eventually(func() int { return env.fleet.Executions("slow") }).WithTimeout(10 * time.Second).Should(Equal(1))
		Eventually(func() int64 { return env.fleet.Counters(standin.Selector{Pool: "bookings"}).Executed }).WithTimeout(10 * time.Second).Should(BeNumerically(">=", 2))
		Eventually(func() int64 { return env.fleet.Counters(standin.Selector{Pool: "encoders"}).Executed }).WithTimeout(10 * time.Second).Should(BeNumerically(">=", 3))
		done := drain(env)
		for _, c := range conns {
			status, raw := read(c)
			Expect(status).To(Equal(http.StatusBadGateway), string(raw))
			p := decodeProblem(raw)
			Expect(p.Reason).To(Equal(problem.OutcomeUnknown))
			Expect(p.Execution).To(Equal(problem.Unknown))
		}
		Eventually(done).WithTimeout(20 * time.Second).Should(Receive(BeNil()))
	})

	// Guards against a kept connection that is closed while its next request is read.
	It("answers a request of which it had read the beginning on a kept connection", func() {
		env := newTestEnv()
		c := begin(env, "/v1/services/bookings/lookup", "", head("slot"))
		status, _ := read(c)
		Expect(status).To(Equal(http.StatusOK))
		_, err := fmt.Fprintf(c, "POST /v1/services/bookings/lookup HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n", testToken)
		Expect(err).NotTo(HaveOccurred())
		done := drain(env)
		awaitClosed(env)
		_, err = io.WriteString(c, head("slot"))
		Expect(err).NotTo(HaveOccurred())
		status, raw := read(c)
		Expect(status).To(Equal(http.StatusServiceUnavailable), string(raw))
		Expect(decodeProblem(raw).Execution).To(Equal(problem.NotRun))
		Eventually(done).WithTimeout(20 * time.Second).Should(Receive(BeNil()))
	})

	It("answers a keyed call although its outcome cannot be recorded in time", func() {
		env := newTestEnv()
		holdBack(env, "bookings")
		release := make(chan struct{})
		env.control.mu.Lock()
		env.control.onApply = func(c *command.Command, _ *command.Result) {
			if c.Record != nil {
				<-release
			}
		}
		env.control.mu.Unlock()
		c := begin(env, "/v1/services/bookings/book", HeaderKey+": stuck\r\n", head("{}"))
		Eventually(func() int { return env.fleet.Executions("stuck") }).WithTimeout(10 * time.Second).Should(Equal(1))
		done := drain(env)
		status, raw := read(c)
		close(release)
		Expect(status).To(Equal(http.StatusBadGateway), string(raw))
		Expect(decodeProblem(raw).Execution).To(Equal(problem.Unknown))
		Eventually(done).WithTimeout(20 * time.Second).Should(Receive())
	})
})
