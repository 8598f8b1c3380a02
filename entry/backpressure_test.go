package entry

import (
	"context"
	"time"

	"damaskbridge.example/damaskbridge/stream"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// newFullExecution returns an execution whose replay buffer has no space until a
// caller reads, with one attempt.
func newFullExecution() *execution {
	opts := stream.DefaultOptions()
	opts.ReplayTokens, opts.Overlap = 1, 0
	e := &execution{tokens: stream.NewSharedAssembler(opts)}
	e.tokens.Begin(1, time.Now())
	_, _, err := e.tokens.Append(1, "a", time.Now())
	Expect(err).NotTo(HaveOccurred())
	return e
}

// waitAs waits for space on behalf of an attempt and sends the outcome.
func (e *execution) waitAs(attempt int) <-chan error {
	out := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go func() { out <- e.waitForSpace(ctx, attempt) }()
	return out
}

var _ = Describe("an attempt whose caller reads slowly", func() {
	// Guards against a sound engine that is replaced because nothing is read from it.
	It("does not count as silent while it waits for space", func() {
		e := newFullExecution()
		out := e.waitAs(1)
		muchLater := time.Now().Add(time.Hour)
		Eventually(func() bool { return e.tokens.Stalled(1, muchLater) }).WithTimeout(5 * time.Second).Should(BeFalse())
		Consistently(out).WithTimeout(10 * time.Millisecond).ShouldNot(Receive())
		e.lastRead.advance(1)
		Eventually(out).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
		Expect(e.tokens.Stalled(1, muchLater)).To(BeTrue())
	})

	// Guards against a stream that hangs because the attempt that goes on missed the
	// signal, which the one that was cancelled beside it has received.
	It("goes on when the caller reads, beside another attempt that waits", func() {
		e := newFullExecution()
		e.tokens.Begin(2, time.Now())
		first, second := e.waitAs(1), e.waitAs(2)
		for attempt := 1; attempt <= 2; attempt++ {
			Eventually(func() bool { return e.tokens.Stalled(attempt, time.Now().Add(time.Hour)) }).WithTimeout(5 * time.Second).Should(BeFalse())
		}
		e.lastRead.advance(1)
		Eventually(first).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
		Eventually(second).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
	})
})
