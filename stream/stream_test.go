package stream

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

// engine is one attempt's view of the true completion, with one fault.
type engine struct {
	at    int
	fault string
	after int
}

// send gives the next text, false at the engine's end.
func (e *engine) send(truth []string) (string, bool) {
	e.after--
	faulty := e.after == 0
	switch {
	case faulty && e.fault == "break":
		return "", false
	case faulty && e.fault == "skip":
		e.at++
	case faulty && e.fault == "other text":
		return "other", true
	}
	if e.at >= len(truth) {
		return "", false
	}
	e.at++
	return truth[e.at-1], true
}

// Guards against duplicated, missing and foreign tokens over any sequence of
// breaks, ignored resume offsets and hedged attempts.
func TestCallerSeesPrefixThenAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth := make([]string, rapid.IntRange(1, 40).Draw(t, "tokens"))
		for i := range truth {
			truth[i] = fmt.Sprintf("t%d ", i)
		}
		opts := DefaultOptions()
		opts.ReplayTokens = rapid.IntRange(3, 60).Draw(t, "replay")
		a := NewAssembler(opts)
		var seen []string
		now := start
		engines := map[int]*engine{}
		begin := func(n int, faults ...string) {
			e := &engine{
				at:    int(a.Begin(n, now)),
				fault: rapid.SampledFrom(faults).Draw(t, "fault"),
				after: rapid.IntRange(1, 20).Draw(t, "after"),
			}
			if e.fault == "ignores resume" {
				e.at = 0
			}
			engines[n] = e
		}
		step := func(n int) {
			e := engines[n]
			text, more := e.send(truth)
			if !more {
				delete(engines, n)
				if _, err := a.Finish(n, uint64(len(truth)), now); err != nil {
					a.Fail(n)
				}
				return
			}
			tok, verdict, err := a.Append(n, text, now)
			if err != nil {
				delete(engines, n)
				return
			}
			if verdict == Accepted {
				if tok.Number != uint64(len(seen)+1) {
					t.Fatalf("accepted token %d after %d tokens", tok.Number, len(seen))
				}
				seen = append(seen, tok.Text)
			}
		}
		check := func() {
			for i, text := range seen {
				if i >= len(truth) || text != truth[i] {
					t.Fatalf("token %d is %q, not a prefix of the true stream", i+1, text)
				}
			}
		}
		for n := 1; n <= 60 && a.end == nil; n++ {
			// A foreign text is found only by comparison, so it is drawn only for
			// tokens that another attempt has delivered or will deliver first.
			begin(n, "none", "break", "ignores resume")
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				for k := max(1, n-1); k <= n; k++ {
					if engines[k] != nil {
						step(k)
					}
				}
				check()
			}
			now = now.Add(time.Second)
		}
		end, done := a.End()
		if !done {
			return
		}
		digest := sha256.Sum256([]byte(strings.Join(truth, "")))
		if int(end.Count) != len(truth) || end.SHA256 != hex.EncodeToString(digest[:]) {
			t.Fatalf("ended with %d of %d tokens", end.Count, len(truth))
		}
	})
}

var _ = Describe("Assembler", func() {
	var a *Assembler
	feed := func(n int, texts ...string) {
		for _, text := range texts {
			_, _, err := a.Append(n, text, start)
			Expect(err).NotTo(HaveOccurred())
		}
	}
	BeforeEach(func() {
		opts := DefaultOptions()
		opts.ReplayTokens = 3
		a = NewAssembler(opts)
		Expect(a.Begin(1, start)).To(BeZero())
	})

	It("rejects a skipped token, which the caller would miss", func() {
		feed(1, "a")
		_, _, err := a.Accept(1, 3, "c", start)
		Expect(err).To(MatchError(&GapError{Attempt: 1, Want: 2, Got: 3}))
		_, _, err = a.Append(1, "b", start)
		Expect(err).To(MatchError(ErrUnknownAttempt))
	})

	It("rejects an end before the last token, which would pass as complete", func() {
		feed(1, "a", "b")
		_, err := a.Finish(1, 3, start)
		Expect(err).To(HaveOccurred())
		Expect(a.Begin(2, start)).To(BeEquivalentTo(0))
		feed(2, "a", "b", "c")
		end, err := a.Finish(2, 3, start)
		Expect(err).NotTo(HaveOccurred())
		Expect(end.Count).To(BeEquivalentTo(3))
	})

	It("rejects a hedge that sends another text for a delivered token", func() {
		feed(1, "a", "b", "c")
		Expect(a.Begin(2, start)).To(BeEquivalentTo(1))
		_, _, err := a.Append(2, "x", start)
		Expect(err).To(MatchError(&DivergedError{Attempt: 2, Number: 2}))
	})

	It("finds a stall by the gap between tokens and not one caused by a slow caller", func() {
		Expect(a.Stalled(1, start.Add(DefaultFirstGap-1))).To(BeFalse())
		Expect(a.Stalled(1, start.Add(DefaultFirstGap))).To(BeTrue())
		feed(1, "a")
		Expect(a.Stalled(1, start.Add(DefaultTokenGap))).To(BeTrue())
		a.Hold(1, start.Add(DefaultTokenGap))
		Expect(a.Stalled(1, start.Add(DefaultTokenGap))).To(BeFalse())
	})

	It("replays from the bounded buffer and reports events that have left it", func() {
		feed(1, "a", "b", "c", "d")
		tokens, err := a.After(2)
		Expect(err).NotTo(HaveOccurred())
		Expect(tokens).To(Equal([]Token{{3, "c"}, {4, "d"}}))
		_, err = a.After(0)
		Expect(err).To(MatchError(ErrTooOld))
		room, ok := a.Room(2)
		Expect(room).To(Equal(1))
		Expect(ok).To(BeTrue())
		_, ok = a.Room(1)
		Expect(ok).To(BeFalse())
	})

	It("wakes readers and gives them the end", func() {
		s := NewShared(DefaultOptions())
		s.Begin(1, start)
		_, _, changed, err := s.Read(0)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = s.Append(1, "a", start)
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(BeClosed())
		_, err = s.Finish(1, 1, start)
		Expect(err).NotTo(HaveOccurred())
		tokens, end, _, _ := s.Read(0)
		Expect(tokens).To(HaveLen(1))
		Expect(end.Count).To(BeEquivalentTo(1))
	})
})

func BenchmarkAppend(b *testing.B) {
	a := NewAssembler(DefaultOptions())
	a.Begin(1, start)
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := a.Append(1, "token ", start); err != nil {
			b.Fatal(err)
		}
	}
}
