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

// simulatedEngine streams the completion for one attempt, with one fault.
type simulatedEngine struct {
	position         int
	fault            string
	tokensUntilFault int
}

// nextText returns the next text, or false at the end of the engine's stream.
func (e *simulatedEngine) nextText(completion []string) (string, bool) {
	e.tokensUntilFault--
	isFaulty := e.tokensUntilFault == 0
	switch {
	case isFaulty && e.fault == "break":
		return "", false
	case isFaulty && e.fault == "skip":
		e.position++
	case isFaulty && e.fault == "other text":
		return "other", true
	}
	if e.position >= len(completion) {
		return "", false
	}
	e.position++
	return completion[e.position-1], true
}

// Guards against duplicated, missing and wrong tokens under random sequences of
// broken streams, ignored resume offsets and hedged attempts.
func TestCallerSeesPrefixThenAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		completion := make([]string, rapid.IntRange(1, 40).Draw(t, "tokens"))
		for i := range completion {
			completion[i] = fmt.Sprintf("t%d ", i)
		}
		opts := DefaultOptions()
		opts.ReplayTokens = rapid.IntRange(3, 60).Draw(t, "replay")
		a := NewAssembler(opts)
		var delivered []string
		now := start
		engines := map[int]*simulatedEngine{}
		beginAttempt := func(n int, faults ...string) {
			e := &simulatedEngine{
				position:         int(a.Begin(n, now)),
				fault:            rapid.SampledFrom(faults).Draw(t, "fault"),
				tokensUntilFault: rapid.IntRange(1, 20).Draw(t, "after"),
			}
			if e.fault == "ignores resume" {
				e.position = 0
			}
			engines[n] = e
		}
		readNext := func(n int) {
			e := engines[n]
			text, more := e.nextText(completion)
			if !more {
				delete(engines, n)
				if _, err := a.Finish(n, uint64(len(completion)), now); err != nil {
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
				if tok.Number != uint64(len(delivered)+1) {
					t.Fatalf("accepted token %d after %d tokens", tok.Number, len(delivered))
				}
				delivered = append(delivered, tok.Text)
			}
		}
		checkPrefix := func() {
			for i, text := range delivered {
				if i >= len(completion) || text != completion[i] {
					t.Fatalf("token %d is %q; the delivered tokens are not a prefix of the completion", i+1, text)
				}
			}
		}
		for n := 1; n <= 60 && a.end == nil; n++ {
			// Wrong text is only detected by comparison, so it may only be injected into
			// tokens that another attempt has delivered or will deliver first.
			beginAttempt(n, "none", "break", "ignores resume")
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				for k := max(1, n-1); k <= n; k++ {
					if engines[k] != nil {
						readNext(k)
					}
				}
				checkPrefix()
			}
			now = now.Add(time.Second)
		}
		end, finished := a.End()
		if !finished {
			return
		}
		digest := sha256.Sum256([]byte(strings.Join(completion, "")))
		if int(end.Count) != len(completion) || end.SHA256 != hex.EncodeToString(digest[:]) {
			t.Fatalf("stream ended with %d of %d tokens, or with a wrong digest", end.Count, len(completion))
		}
	})
}

var _ = Describe("Assembler", func() {
	var a *Assembler
	appendAll := func(n int, texts ...string) {
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

	It("rejects a skipped token, which the caller would not receive", func() {
		appendAll(1, "a")
		_, _, err := a.Accept(1, 3, "c", start)
		Expect(err).To(MatchError(&GapError{Attempt: 1, Want: 2, Got: 3}))
		_, _, err = a.Append(1, "b", start)
		Expect(err).To(MatchError(ErrUnknownAttempt))
	})

	It("rejects an end before the last token, which would make a truncated stream look complete", func() {
		appendAll(1, "a", "b")
		_, err := a.Finish(1, 3, start)
		Expect(err).To(HaveOccurred())
		Expect(a.Begin(2, start)).To(BeEquivalentTo(0))
		appendAll(2, "a", "b", "c")
		end, err := a.Finish(2, 3, start)
		Expect(err).NotTo(HaveOccurred())
		Expect(end.Count).To(BeEquivalentTo(3))
	})

	It("rejects a hedge that sends different text for a delivered token", func() {
		appendAll(1, "a", "b", "c")
		Expect(a.Begin(2, start)).To(BeEquivalentTo(1))
		_, _, err := a.Append(2, "x", start)
		Expect(err).To(MatchError(&DivergedError{Attempt: 2, Number: 2}))
	})

	It("detects a stall by the time between tokens, but not one caused by a slow caller", func() {
		Expect(a.Stalled(1, start.Add(DefaultFirstTokenTimeout-1))).To(BeFalse())
		Expect(a.Stalled(1, start.Add(DefaultFirstTokenTimeout))).To(BeTrue())
		appendAll(1, "a")
		Expect(a.Stalled(1, start.Add(DefaultTokenTimeout))).To(BeTrue())
		a.Pause(1)
		Expect(a.Stalled(1, start.Add(time.Hour))).To(BeFalse())
		a.Resume(1, start.Add(DefaultTokenTimeout))
		Expect(a.Stalled(1, start.Add(DefaultTokenTimeout))).To(BeFalse())
		Expect(a.Stalled(1, start.Add(2*DefaultTokenTimeout))).To(BeTrue())
	})

	It("replays tokens from the bounded buffer and returns an error for events that have left it", func() {
		appendAll(1, "a", "b", "c", "d")
		tokens, err := a.TokensAfter(2)
		Expect(err).NotTo(HaveOccurred())
		Expect(tokens).To(Equal([]Token{{3, "c"}, {4, "d"}}))
		_, err = a.TokensAfter(0)
		Expect(err).To(MatchError(ErrEvicted))
		free, ok := a.FreeTokens(2)
		Expect(free).To(Equal(1))
		Expect(ok).To(BeTrue())
		_, ok = a.FreeTokens(1)
		Expect(ok).To(BeFalse())
	})

	It("notifies readers of new tokens and returns the end to them", func() {
		s := NewSharedAssembler(DefaultOptions())
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
