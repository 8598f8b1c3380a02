package admission

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var start = time.Unix(1_800_000_000, 0)

// fixedLimitOptions returns options with a constant limit.
func fixedLimitOptions(limit float64) Options {
	o := DefaultOptions()
	o.Limiter.Initial, o.Limiter.Min, o.Limiter.Max = limit, limit, limit
	return o
}

var _ = Describe("Gate", func() {
	backlog := func(g *Gate, p Priority, count int) map[Ticket]bool {
		tickets := map[Ticket]bool{}
		for range count {
			tickets[g.Offer(Request{Workspace: p.String(), Priority: p}, start)] = true
		}
		return tickets
	}
	// cycle releases each grant at once and returns the grants in order.
	cycle := func(g *Gate, first Ticket, count int, now time.Time) []Ticket {
		var order []Ticket
		g.Events()
		for next := first; len(order) < count; {
			g.Release(next, Sample{Latency: 10 * time.Millisecond}, now)
			events := g.Events()
			Expect(events).NotTo(BeEmpty())
			next = events[0].Ticket
			order = append(order, next)
		}
		return order
	}

	It("serves interactive requests first and gives batch its guaranteed fraction", func() {
		g := NewGate(fixedLimitOptions(1))
		first := g.Offer(Request{Workspace: "x"}, start)
		batch := backlog(g, Batch, 50)
		interactive := backlog(g, Interactive, 400)
		order := cycle(g, first, 200, start)
		Expect(interactive).To(HaveKey(order[0]))
		served := 0
		for _, t := range order {
			if batch[t] {
				served++
			}
		}
		Expect(served).To(BeNumerically(">=", 9))
		Expect(served).To(BeNumerically("<=", 11))
	})

	It("gives a workspace no credit for time in which it was idle", func() {
		g := NewGate(fixedLimitOptions(1))
		first := g.Offer(Request{Workspace: "x"}, start)
		backlog(g, Normal, 150)
		order := cycle(g, first, 100, start)
		late := map[Ticket]bool{}
		for range 50 {
			late[g.Offer(Request{Workspace: "late", Priority: Normal}, start)] = true
		}
		served := 0
		for _, t := range cycle(g, order[99], 20, start) {
			if late[t] {
				served++
			}
		}
		Expect(served).To(BeNumerically("~", 10, 1))
	})

	It("limits a workspace that marks all its requests as interactive to its share", func() {
		g := NewGate(fixedLimitOptions(1))
		first := g.Offer(Request{Workspace: "x"}, start)
		normal := map[Ticket]bool{}
		for range 200 {
			g.Offer(Request{Workspace: "loud", Priority: Interactive}, start)
			normal[g.Offer(Request{Workspace: "quiet", Priority: Normal}, start)] = true
		}
		served := 0
		for _, t := range cycle(g, first, 200, start) {
			if normal[t] {
				served++
			}
		}
		Expect(served).To(BeNumerically("~", 100, DefaultShareBurst))
	})

	It("keeps slots free of batch requests for interactive ones", func() {
		g := NewGate(fixedLimitOptions(10))
		backlog(g, Batch, 20)
		Expect(g.InFlight()).To(Equal(8))
		backlog(g, Interactive, 1)
		Expect(g.InFlight()).To(Equal(9))
	})

	It("rejects a request at once if the expected wait is too long for its deadline", func() {
		g := NewGate(fixedLimitOptions(1))
		first := g.Offer(Request{Workspace: "x"}, start)
		now := start.Add(100 * time.Millisecond)
		g.Release(first, Sample{Latency: 100 * time.Millisecond}, now)
		g.Offer(Request{Workspace: "x", Priority: Normal}, now)
		g.Offer(Request{Workspace: "x", Priority: Normal}, now)
		g.Events()
		t := g.Offer(Request{Workspace: "x", Priority: Normal, Deadline: now.Add(250 * time.Millisecond), RemainingTime: 100 * time.Millisecond}, now)
		events := g.Events()
		Expect(events).To(HaveLen(1))
		Expect(events[0].Ticket).To(Equal(t))
		Expect(events[0].Rejection.Reason).To(Equal(WaitTooLong))
		Expect(events[0].Rejection.RetryAfter).To(BeNumerically(">=", 200*time.Millisecond))
	})

	It("sheds a queued request once it can no longer meet its deadline", func() {
		g := NewGate(fixedLimitOptions(1))
		g.Offer(Request{Workspace: "x"}, start)
		t := g.Offer(Request{Workspace: "x", Deadline: start.Add(time.Second), RemainingTime: 400 * time.Millisecond}, start)
		g.Events()
		g.Advance(start.Add(600 * time.Millisecond))
		Expect(g.Events()).To(BeEmpty())
		g.Advance(start.Add(601 * time.Millisecond))
		events := g.Events()
		Expect(events).To(HaveLen(1))
		Expect(events[0].Ticket).To(Equal(t))
		Expect(events[0].Rejection.Reason).To(Equal(Expired))
	})

	It("serves the newest request first once the queue has been non-empty for OverloadAfter", func() {
		g := NewGate(fixedLimitOptions(1))
		first := g.Offer(Request{Workspace: "x"}, start)
		g.Offer(Request{Workspace: "x"}, start)
		newest := g.Offer(Request{Workspace: "x"}, start)
		Expect(cycle(g, first, 1, start.Add(DefaultOverloadAfter))).To(Equal([]Ticket{newest}))
	})

	It("displaces a request of lower priority from a full queue", func() {
		o := fixedLimitOptions(1)
		o.MaxQueued = 1
		g := NewGate(o)
		g.Offer(Request{Workspace: "x"}, start)
		displaced := g.Offer(Request{Workspace: "x", Priority: Batch}, start)
		g.Offer(Request{Workspace: "y", Priority: Interactive}, start)
		events := g.Events()
		Expect(events).To(HaveLen(2))
		Expect(events[1].Ticket).To(Equal(displaced))
		Expect(events[1].Rejection.Reason).To(Equal(Displaced))
	})

	It("lowers the limit when latency rises or the pool drops requests, and raises it again", func() {
		l := NewLimiter(DefaultOptions().Limiter)
		now := start
		run := func(n int, s Sample) {
			for range n {
				now = now.Add(20 * time.Millisecond)
				l.Observe(s, l.Limit(), now)
			}
		}
		run(200, Sample{Latency: 10 * time.Millisecond})
		high := l.Limit()
		Expect(high).To(BeNumerically(">", DefaultInitialLimit))
		run(200, Sample{Latency: 100 * time.Millisecond})
		low := l.Limit()
		Expect(low).To(BeNumerically("<", high/2))
		run(200, Sample{Latency: 10 * time.Millisecond})
		Expect(l.Limit()).To(BeNumerically(">", low))
		run(400, Sample{Outcome: Dropped})
		Expect(l.Limit()).To(Equal(DefaultMinLimit))
	})

	It("converges to limits in proportion to the demand of VMs that see the same latency", func() {
		limit := func(offers int, hold time.Duration) int {
			l := NewLimiter(DefaultOptions().Limiter)
			now := start
			for i := range 4000 {
				now = now.Add(10 * time.Millisecond)
				for range offers {
					l.CountOffer()
				}
				latency := 50 * time.Millisecond
				if i > 100 {
					latency = 120 * time.Millisecond
				}
				l.observeHold(hold, latency)
				l.Observe(Sample{Latency: latency}, l.Limit(), now)
			}
			return l.Limit()
		}
		Expect(limit(12, 0)).To(BeNumerically(">", 3*limit(2, 0)))
		Expect(limit(2, time.Second)).To(BeNumerically(">", 3*limit(2, 0)), "slots held beyond the latency count as demand")
	})

	It("counts a latency recorded by Progress once and lowers the limit for overdue requests", func() {
		o := DefaultOptions()
		g := NewGate(o)
		now := start
		for range 3 {
			now = now.Add(o.Limiter.Window)
			var held []Ticket
			for range o.Limiter.WindowSamples {
				held = append(held, g.Offer(Request{Workspace: "x"}, now))
			}
			now = now.Add(10 * time.Millisecond)
			for _, t := range held {
				g.Progress(t, 10*time.Millisecond, now)
				g.Progress(t, time.Hour, now)
				g.Release(t, Sample{Latency: time.Hour}, now)
			}
		}
		for range 40 {
			g.Offer(Request{Workspace: "x"}, now)
		}
		Expect(g.limiter.Baseline()).To(Equal(10 * time.Millisecond))
		t := g.Offer(Request{Workspace: "x"}, now)
		samples := g.limiter.windowSamples
		g.Progress(t, 10*time.Millisecond, now)
		g.Release(t, Sample{Latency: time.Hour}, now)
		Expect(g.limiter.windowSamples).To(Equal(samples + 1))
		before := g.Limit()
		g.Advance(now.Add(o.Limiter.Window))
		Expect(g.Limit()).To(Equal(before))
		for range 10 {
			now = now.Add(o.Limiter.Window)
			g.Advance(now)
		}
		Expect(g.Limit()).To(BeNumerically("<", before/2))
	})

	It("does not set the initial baseline from the shortest of the first requests", func() {
		g := NewGate(DefaultOptions())
		var held []Ticket
		now := start
		for round := range 60 {
			now = now.Add(10 * time.Millisecond)
			held = append(held, g.Offer(Request{Workspace: "x"}, now))
			if round >= 20 && round%2 == 0 {
				g.Release(held[len(held)-1], Sample{Latency: 10 * time.Millisecond}, now)
			}
		}
		Expect(g.limiter.Baseline()).To(BeZero())
		for _, t := range held {
			now = now.Add(10 * time.Millisecond)
			g.Release(t, Sample{Latency: 500 * time.Millisecond}, now)
		}
		Expect(g.limiter.Baseline()).To(Equal(500 * time.Millisecond))
	})

	It("does not treat long requests as overdue while short ones complete", func() {
		g := NewGate(DefaultOptions())
		now := start
		for range 300 {
			now = now.Add(10 * time.Millisecond)
			short := g.Offer(Request{Workspace: "x"}, now)
			if g.InFlight() < 30 {
				g.Offer(Request{Workspace: "long"}, now)
			}
			now = now.Add(10 * time.Millisecond)
			g.Release(short, Sample{Latency: 10 * time.Millisecond}, now)
		}
		Expect(g.Limit()).To(BeNumerically(">=", DefaultInitialLimit))
	})

	It("does not treat engine requests as overdue if their latency is only sampled at the end", func() {
		g := NewGate(DefaultOptions())
		now := start
		for range 20 {
			var held []Ticket
			for range 20 {
				held = append(held, g.Offer(Request{Workspace: "x"}, now))
			}
			for range 40 {
				now = now.Add(100 * time.Millisecond)
				g.Advance(now)
			}
			for _, t := range held {
				g.Release(t, Sample{Latency: 100 * time.Millisecond}, now)
			}
		}
		Expect(g.Limit()).To(BeNumerically(">=", DefaultInitialLimit))
	})

	It("delivers one event to each waiter of a Controller", func() {
		c := NewController(fixedLimitOptions(1))
		a := c.Offer("p", Request{Workspace: "x"}, start)
		Expect((<-a.Done).Rejection).To(BeNil())
		b := c.Offer("p", Request{Workspace: "x"}, start)
		Expect(b.Done).NotTo(Receive())
		c.Release("p", a.Ticket, Sample{}, start)
		Expect((<-b.Done).Rejection).To(BeNil())
		Expect(c.Status()["p"].InFlight).To(Equal(1))
	})

	It("enforces the limit for concurrent callers of a Controller", func() {
		c := NewController(fixedLimitOptions(2))
		var inside atomic.Int32
		var wg sync.WaitGroup
		for n := range 8 {
			wg.Go(func() {
				defer GinkgoRecover()
				for range 50 {
					w := c.Offer("p", Request{Workspace: fmt.Sprint(n)}, start)
					Expect((<-w.Done).Rejection).To(BeNil())
					Expect(inside.Add(1)).To(BeNumerically("<=", 2))
					inside.Add(-1)
					c.Release("p", w.Ticket, Sample{}, start)
				}
			})
		}
		wg.Wait()
		Expect(c.Status()["p"].Granted).To(BeEquivalentTo(400))
	})
})
