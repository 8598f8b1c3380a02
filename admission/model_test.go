package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"damaskbridge.example/damaskbridge/problem"
)

// TestGateKeepsInvariants guards against exceeding the limit or the queue bound,
// a missing or second event for a request, a wrong execution state in a
// rejection, and requests that wait at an idle gate.
func TestGateKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 6).Draw(t, "limit")
		o := fixedLimitOptions(float64(limit))
		o.MaxQueued = rapid.IntRange(0, 12).Draw(t, "queue")
		g := NewGate(o)
		now := start
		type state struct {
			started, granted, ended bool
		}
		requests := map[Ticket]*state{}
		var granted []Ticket
		drain := func() {
			for _, e := range g.Events() {
				s := requests[e.Ticket]
				if s.granted || s.ended {
					t.Fatalf("second event for request %d", e.Ticket)
				}
				if e.Rejection == nil {
					s.granted = true
					granted = append(granted, e.Ticket)
					continue
				}
				s.ended = true
				if s.started != (e.Rejection.State != problem.NotRun) {
					t.Fatalf("rejection has state %s for a request with started=%v", e.Rejection.State, s.started)
				}
				if e.Rejection.RetryAfter <= 0 {
					t.Fatal("rejection has no retry hint")
				}
			}
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			switch op := rapid.IntRange(0, 5).Draw(t, "op"); {
			case op <= 2:
				r := Request{
					Workspace:     fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "workspace")),
					Priority:      Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
					RemainingTime: time.Duration(rapid.IntRange(0, 200).Draw(t, "need")) * time.Millisecond,
					Started:       rapid.IntRange(0, 4).Draw(t, "started") == 0,
				}
				if rapid.Bool().Draw(t, "bounded") {
					r.Deadline = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "deadline")) * time.Millisecond)
				}
				s := &state{started: r.Started}
				requests[g.lastTicket+1] = s
				g.Offer(r, now)
			case op == 3 && len(granted) > 0:
				g.Release(granted[0], Sample{Latency: time.Millisecond, Outcome: Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))}, now)
				granted = granted[1:]
			case op == 4 && len(requests) > 0:
				n := Ticket(rapid.IntRange(1, len(requests)).Draw(t, "cancelled"))
				if s := requests[n]; !s.granted && !s.ended {
					s.ended = true
					g.Cancel(n, now)
				}
			default:
				g.Advance(now)
			}
			drain()
			if g.InFlight() > limit || g.Waiting() > o.MaxQueued || g.InFlight() != len(granted) {
				t.Fatalf("%d in flight with limit %d, want %d; %d waiting with queue bound %d", g.InFlight(), limit, len(granted), g.Waiting(), o.MaxQueued)
			}
		}
		pending := 0
		for _, s := range requests {
			if !s.granted && !s.ended {
				pending++
			}
		}
		if pending != g.Waiting() {
			t.Fatalf("%d requests have no event, but %d are waiting", pending, g.Waiting())
		}
		if g.Waiting() > 0 && g.InFlight() == 0 {
			t.Fatal("requests are waiting at an idle gate")
		}
	})
}

// TestFairnessBound guards against unfair service: between workspaces that always
// have requests waiting, the service divided by the weight may differ by at most
// one request of each, also if one workspace offers far more than another.
func TestFairnessBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewGate(fixedLimitOptions(2))
		n := rapid.IntRange(2, 5).Draw(t, "workspaces")
		weights := make([]float64, n)
		served := make([]float64, n)
		owner := map[Ticket]int{}
		offer := func(i int) {
			r := Request{Workspace: fmt.Sprint("w", i), Weight: weights[i], Priority: Normal}
			owner[g.Offer(r, start)] = i
		}
		for i := range weights {
			weights[i] = float64(rapid.IntRange(1, 8).Draw(t, "weight"))
		}
		filler := []Ticket{g.Offer(Request{Workspace: "filler"}, start), g.Offer(Request{Workspace: "filler"}, start)}
		g.Events()
		for i := range weights {
			// Every second workspace offers far more than the others.
			for range 3 + 100*(i%2) {
				offer(i)
			}
		}
		for _, f := range filler {
			g.Release(f, Sample{}, start)
		}
		for range 300 {
			events := g.Events()
			for _, e := range events {
				i := owner[e.Ticket]
				served[i] += 1 / weights[i]
				offer(i)
			}
			for i := range n {
				for j := range n {
					if d := served[i] - served[j]; d > 1/weights[i]+1/weights[j]+1e-9 {
						t.Fatalf("service divided by weight differs by %.2f between weights %v and %v", d, weights[i], weights[j])
					}
				}
			}
			for _, e := range events {
				g.Release(e.Ticket, Sample{Latency: time.Millisecond}, start)
			}
		}
	})
}
