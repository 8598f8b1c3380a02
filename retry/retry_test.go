package retry

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/problem"
)

var (
	start = time.Unix(1_800_000_000, 0)
	id    = ids.RequestID{Session: ids.SessionID{VM: "vm", Incarnation: 1}, Seq: 7}
)

// unlimitedBudget grants every extra attempt, so that a budget can't hide faults.
type unlimitedBudget struct{}

func (unlimitedBudget) RecordRequest(time.Time) {}
func (unlimitedBudget) TrySpend(time.Time) bool { return true }

// Guards invariants I4 (a non-idempotent call is dispatched at most once), I3
// (a call in state not_run was not executed) and I1 (the result of another
// request is never used) under random sequences of faults. The test counts the
// real executions at the upstream.
func TestCallKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Policy{
			Idempotent:       rapid.Bool().Draw(t, "idempotent"),
			RetryNotExecuted: rapid.Bool().Draw(t, "move"),
			MaxAttempts:      rapid.IntRange(1, 5).Draw(t, "max"),
			MaxOverlap:       time.Duration(rapid.IntRange(0, 50).Draw(t, "overlap")) * time.Millisecond,
			HedgeAfter:       time.Duration(rapid.IntRange(0, 50).Draw(t, "hedge")) * time.Millisecond,
			Digest:           "d",
		}
		if rapid.Bool().Draw(t, "bounded") {
			p.Deadline = start.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "deadline")) * time.Millisecond)
		}
		c := NewCall(id, "s", p, unlimitedBudget{})
		now := start
		dispatched, executed, wins, ends := 0, 0, 0, 0
		open := map[int]bool{}
		wrote := map[int]bool{}
		countEnds := func(actions []Action) {
			for _, a := range actions {
				switch a.Kind {
				case Dispatch:
					open[a.Attempt] = true
				case Win:
					wins++
				case End:
					ends++
				}
			}
		}
		countEnds(c.Start(now))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(1, max(1, c.Attempts())).Draw(t, "attempt")
			switch op := rapid.IntRange(0, 9).Draw(t, "op"); {
			case op <= 1:
				if open[n] && c.Sent(n) {
					wrote[n] = true
					dispatched++
				}
			case op == 2:
				countEnds(c.Tick(now))
			case op == 3 && rapid.IntRange(0, 9).Draw(t, "rare") == 0:
				countEnds(c.Abandon())
			case op == 4 && wrote[n]:
				executed++
				r := Result{ReceivedOn: n, ID: c.AttemptID(n), Digest: "d", Valid: true}
				swapped := rapid.SampledFrom([]string{"", "", "request", "stage", "attempt", "digest", "body"}).Draw(t, "swapped")
				switch swapped {
				case "request":
					r.ID.Request.Seq++
				case "stage":
					r.ID.Stage = "other"
				case "attempt":
					r.ID.Attempt++
				case "digest":
					r.Digest = "other"
				case "body":
					r.Valid = false
				}
				before := c.Winner()
				countEnds(c.Complete(r, now))
				if swapped != "" && c.Winner() != before {
					t.Fatalf("a response with a wrong %s won", swapped)
				}
			case op == 7:
				countEnds(c.Stalled(n, now))
			case op == 8 && wrote[n]:
				c.Delivered(n, now)
			case op == 9 && wrote[n]:
				countEnds(c.Progress(n))
			case open[n]:
				f := rapid.SampledFrom([]Failure{Refused, NotExecuted, Broken, ServerError, Rejected}).Draw(t, "failure")
				if !wrote[n] && f != Refused && f != Broken {
					continue
				}
				if wrote[n] && f != NotExecuted && (f == ServerError || rapid.Bool().Draw(t, "executed")) {
					executed++
				}
				if f == NotExecuted {
					dispatched--
				}
				open[n], wrote[n] = false, false
				countEnds(c.Fail(n, f, now))
			}
			if !p.Idempotent && dispatched > 1 {
				t.Fatalf("a non-idempotent call was dispatched %d times", dispatched)
			}
			if c.State() == problem.NotRun && executed > 0 {
				t.Fatalf("state not_run after %d executions", executed)
			}
			if wins+ends > 1 || c.Ended() != (wins+ends == 1) {
				t.Fatalf("%d wins and %d ends, want at most one in total and Ended to agree", wins, ends)
			}
			if c.Attempts() > p.MaxAttempts {
				t.Fatalf("%d attempts, at most %d allowed", c.Attempts(), p.MaxAttempts)
			}
		}
	})
}

// Guards against extra attempts that amplify an overload: at each extra attempt,
// those in the window that ends then stay within the allowed fraction of the
// window's requests plus the floor.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := BudgetOptions{
			Fraction: rapid.Float64Range(0, 0.5).Draw(t, "part"),
			Floor:    rapid.IntRange(0, 5).Draw(t, "floor"),
			Window:   time.Second,
		}
		b := NewBudget(o)
		var requests, extras []time.Time
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 5).Draw(t, "requests") {
				b.RecordRequest(now)
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 4).Draw(t, "extras") {
				if !b.TrySpend(now) {
					continue
				}
				extras = append(extras, now)
				spent := countInWindow(extras, now, o.Window)
				allowed := o.Fraction*float64(countInWindow(requests, now, o.Window)) + float64(o.Floor)
				if float64(spent) > allowed {
					t.Fatalf("%d extra attempts in a window that allows %.2f", spent, allowed)
				}
			}
			// Requests may leave the window before the extra attempts that they allowed.
			spent := countInWindow(extras, now, o.Window)
			allowed := o.Fraction*float64(countInWindow(requests, now, 2*o.Window)) + float64(o.Floor)
			if float64(spent) > allowed {
				t.Fatalf("%d extra attempts in a window, %.2f allowed by it and the one before", spent, allowed)
			}
		}
	})
}

func countInWindow(times []time.Time, now time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if now.Sub(at) < window {
			n++
		}
	}
	return n
}

var _ = Describe("Call", func() {
	policy := Policy{Idempotent: true, MaxAttempts: 3, HedgeAfter: 20 * time.Millisecond, Deadline: start.Add(time.Second)}
	result := func(c *Call, n int) Result { return Result{ReceivedOn: n, ID: c.AttemptID(n), Valid: true} }

	It("sends one hedge after the hedge time, takes the first result and cancels the other attempt", func() {
		c := NewCall(id, "s", policy, unlimitedBudget{})
		c.Start(start)
		c.Sent(1)
		at, ok := c.NextTick()
		Expect(ok).To(BeTrue())
		Expect(c.Tick(at.Add(-1))).To(BeEmpty())
		Expect(c.Tick(at)).To(Equal([]Action{{Kind: Dispatch, Attempt: 2, Reason: Hedge}}))
		Expect(c.Tick(at.Add(time.Hour / 3600 / 2))).To(BeEmpty())
		c.Sent(2)
		Expect(c.Complete(result(c, 2), at)).To(Equal([]Action{{Kind: Win, Attempt: 2, Reason: Won}, {Kind: Cancel, Attempt: 1, Reason: Lost}}))
		Expect(c.Complete(result(c, 1), at)).To(BeEmpty())
		Expect(c.Counts().Late).To(Equal(1))
		Expect(c.Winner()).To(Equal(2))
	})

	It("does not hedge or retry without budget or without enough time before the deadline", func() {
		b := NewSharedBudget(BudgetOptions{Window: time.Second})
		c := NewCall(id, "s", policy, b)
		c.Start(start)
		Expect(c.Tick(start.Add(20 * time.Millisecond))).To(BeEmpty())
		Expect(c.Counts().HedgeDenied).To(Equal(1))
		Expect(c.Fail(1, Broken, start)).To(Equal([]Action{{Kind: End, Reason: BudgetSpent}}))
		p := policy
		p.MinRemaining = 2 * time.Second
		c = NewCall(id, "s", p, unlimitedBudget{})
		c.Start(start)
		Expect(c.Fail(1, Refused, start)).To(Equal([]Action{{Kind: End, Reason: NoTimeLeft}}))
		Expect(c.State()).To(Equal(problem.NotRun))
	})

	It("retries a non-idempotent call only if nothing was sent", func() {
		p := Policy{MaxAttempts: 3}
		c := NewCall(id, "s", p, unlimitedBudget{})
		c.Start(start)
		Expect(c.Fail(1, Refused, start)).To(Equal([]Action{{Kind: Dispatch, Attempt: 2, Reason: RetryUnstarted}}))
		Expect(c.Sent(2)).To(BeTrue())
		Expect(c.Fail(2, Broken, start)).To(Equal([]Action{{Kind: End, Reason: NotRepeatable}}))
		Expect(c.State()).To(Equal(problem.Unknown))
	})

	It("parses the attempt header that it formats", func() {
		c := NewCall(id, "s/t", policy, unlimitedBudget{})
		got, err := ParseAttemptID(c.AttemptID(3).String())
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(c.AttemptID(3)))
		_, err = ParseAttemptID("vm.1.7/s/0")
		Expect(err).To(HaveOccurred())
	})
})
