package fence

import (
	"flag"
	"reflect"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "400")
	_ = flag.Set("rapid.nofailfile", "true")
}

func TestFence(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fence")
}

func vm(name string) ids.SessionID { return ids.SessionID{VM: ids.VMID(name), Incarnation: 1} }

func acquire(name string, termMS uint32, nonce uint64) *command.AcquireLease {
	return &command.AcquireLease{Upstream: "u", Session: vm(name), TermMS: termMS, Nonce: nonce}
}

var _ = Describe("fencing tokens", func() {
	margin := uint32((OrderExpiry + NetworkDelay).Milliseconds())

	It("increase with each new holder and stay the same on renewal", func() {
		t := NewTable()
		first := t.Acquire(acquire("a", 1000, 1), 0, 1)
		Expect(first).To(Equal(command.Result{FencingToken: 1}), "the first holder has no predecessor to wait for")
		Expect(t.Acquire(acquire("a", 1000, 1), 10, 1)).To(Equal(first))
		Expect(t.Acquire(acquire("b", 1000, 1), 500, 1)).To(HaveField("Code", command.LeaseHeld))
		Expect(t.Acquire(acquire("a", 1000, 2), 900, 1)).To(Equal(first))
		Expect(t.Acquire(acquire("b", 1000, 1), 1899, 1).WaitMS).To(Equal(uint32(1)))
		second := t.Acquire(acquire("b", 500, 1), 1900, 1)
		Expect(second.FencingToken).To(Equal(uint64(2)))
		Expect(second.WaitMS).To(Equal(1000+margin), "the clock may have jumped, so the wait covers the predecessor's whole term")
	})

	It("make a successor wait for the term of every earlier holder that did not release its lease", func() {
		t := NewTable()
		t.Acquire(acquire("a", 9000, 1), 0, 1)
		t.EndSession(vm("a"), 1)
		b := t.Acquire(acquire("b", 100, 1), 2, 1)
		Expect(t.Release(&command.ReleaseLease{Upstream: "u", Token: b.FencingToken}).Code).To(Equal(command.OK))
		Expect(t.Acquire(acquire("b", 100, 1), 3, 1).Code).To(Equal(command.NotOwner), "a repeated message")
		Expect(t.Acquire(acquire("c", 100, 1), 4, 1).WaitMS).To(Equal(9000 + margin))
		Expect(t.Release(&command.ReleaseLease{Upstream: "u", Token: b.FencingToken}).Code).To(Equal(command.NotOwner))
	})

	It("increase for an upstream that Sweep removed, which takes both time and commands", func() {
		t := NewTable()
		t.Acquire(acquire("a", 1000, 1), 0, 1)
		minAgeMS := sweepMinAge.Milliseconds()
		t.Sweep(minAgeMS+1001, 1+sweepMinCommands)
		t.Sweep(minAgeMS+1000, 2+sweepMinCommands)
		Expect(t.Leases()).To(HaveLen(1), "one condition alone is not enough")
		t.Sweep(minAgeMS+1001, 2+sweepMinCommands)
		Expect(t.Leases()).To(BeEmpty())
		Expect(t.Acquire(acquire("b", 1000, 1), minAgeMS+2000, 3+sweepMinCommands)).To(Equal(command.Result{FencingToken: 2}))
	})

	It("make a successor wait only for orders in flight after a release", func() {
		t := NewTable()
		a := t.Acquire(acquire("a", 9000, 1), 0, 1)
		t.Release(&command.ReleaseLease{Upstream: "u", Token: a.FencingToken})
		Expect(t.Acquire(acquire("c", 100, 1), 1, 1).WaitMS).To(Equal(margin))
	})
})

// TestOneHolder guards against two holders whose leases overlap in real time at
// an upstream that ignores tokens. Real time is independent of the state
// machine's time, which follows a jumping clock. A holder's term starts before
// its message is sent, as on the entry VM.
func TestOneHolder(t *testing.T) {
	handovers := 0
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		type lease struct {
			session ids.SessionID
			token   uint64
			// from and last are the earliest and latest real times in ms at which
			// an order with the token may take effect.
			from, last int64
		}
		var leases []lease
		real, state := int64(0), int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			real += rapid.Int64Range(0, 3000).Draw(t, "real")
			state += rapid.SampledFrom([]int64{0, 10, 1000, 1e6}).Draw(t, "jump")
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "vm")
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				table.EndSession(vm(name), state)
			case 1:
				if n := len(leases); n > 0 && table.Release(&command.ReleaseLease{Upstream: "u", Token: leases[n-1].token}).Code == command.OK {
					// The holder stops now, but its last order may take effect later.
					prev := &leases[n-1]
					prev.last = min(prev.last, real+(OrderExpiry+NetworkDelay).Milliseconds())
				}
			default:
				term := rapid.Uint32Range(1, 9000).Draw(t, "term")
				c := acquire(name, term, uint64(len(leases))+uint64(real)<<16)
				sent := real
				real += rapid.Int64Range(0, 2000).Draw(t, "round trip")
				got := table.Acquire(c, state, 1)
				if got.Code != command.OK {
					continue
				}
				last := sent + int64(term) + (OrderExpiry + NetworkDelay).Milliseconds()
				if n := len(leases); n > 0 && leases[n-1].token == got.FencingToken {
					leases[n-1].last = max(leases[n-1].last, last)
					continue
				}
				next := lease{session: vm(name), token: got.FencingToken, from: real + int64(got.WaitMS), last: last}
				for _, prev := range leases {
					if prev.token >= next.token {
						t.Fatalf("token %d is not greater than the earlier token %d", next.token, prev.token)
					}
					if prev.last > next.from && prev.session != next.session {
						t.Fatalf("token %d of %s may take effect from %d ms, but token %d of %s until %d ms", next.token, next.session, next.from, prev.token, prev.session, prev.last)
					}
				}
				if len(leases) > 0 {
					handovers++
				}
				leases = append(leases, next)
			}
			restored, err := RestoreTable(table.Snapshot())
			if err != nil || !reflect.DeepEqual(restored, table) {
				t.Fatalf("a restored table differs: %v", err)
			}
			table = restored
		}
	})
	if handovers < 100 {
		t.Fatalf("only %d handovers, want at least 100", handovers)
	}
}

// TestBudget guards against draws beyond the weight store's rate. In any span of
// the state machine's time, all VMs together draw at most the rate times the span
// plus one burst. A clock that stands still or goes back adds no tokens, and a
// repeated message takes none.
func TestBudget(t *testing.T) {
	granted, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget()
		rate := rapid.Int64Range(1, 2000).Draw(t, "rate")
		type draw struct{ at, bytes int64 }
		var draws []draw
		now, newest := int64(100_000), int64(0)
		for n := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.SampledFrom([]int64{0, 1, 7, 100, 900, -500, 5000}).Draw(t, "clock")
			newest = max(newest, now)
			c := &command.DrawWeights{
				Session: vm(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "vm")),
				Bytes:   rapid.Uint64Range(1, MaxDraw(rate)).Draw(t, "bytes"), Nonce: uint64(n),
			}
			r := b.Draw(c, rate, now)
			if r.Code == command.RateExhausted {
				refused++
				checkWaitSuffices(t, b, c, rate, newest, int64(r.WaitMS))
				continue
			}
			granted++
			draws = append(draws, draw{newest, int64(c.Bytes)})
			if again := b.Draw(c, rate, now); again.Code != command.OK {
				t.Fatalf("the repeat of a granted draw got code %d", again.Code)
			}
			restored, err := RestoreBudget(b.Snapshot())
			if err != nil || !reflect.DeepEqual(restored, b) {
				t.Fatalf("a restored budget differs: %v", err)
			}
			b = restored
		}
		for i := range draws {
			sum := int64(0)
			for _, d := range draws[i:] {
				sum += d.bytes
				if allowed := rate + rate*(d.at-draws[i].at)/1000; sum > allowed {
					t.Fatalf("%d bytes from %d to %d ms, the rate of %d allows %d", sum, draws[i].at, d.at, rate, allowed)
				}
			}
		}
	})
	if granted < 1000 || refused < 1000 {
		t.Fatalf("%d draws granted, %d refused: the generator no longer covers both", granted, refused)
	}
}

// checkWaitSuffices checks that a refused draw succeeds after the returned wait
// if there are no other draws.
func checkWaitSuffices(t *rapid.T, b *Budget, c *command.DrawWeights, rate, now, wait int64) {
	copied, err := RestoreBudget(b.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	if r := copied.Draw(c, rate, now+wait+1); r.Code != command.OK {
		t.Fatalf("a draw is refused after its wait of %d ms", wait)
	}
}
