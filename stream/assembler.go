package stream

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"time"
)

// Assembler joins the attempts of one completion. Several attempts may run at
// the same time, as with a hedge.
type Assembler struct {
	opts     Options
	attempts []attempt
	buffer   replay
	count    uint64
	digest   hash.Hash
	end      *End
}

// NewAssembler gives an empty assembler. Options are as checked by Check.
func NewAssembler(opts Options) *Assembler {
	return &Assembler{
		opts:   opts,
		buffer: replay{maxTokens: opts.ReplayTokens, maxBytes: opts.ReplayBytes},
		digest: sha256.New(),
	}
}

// Begin starts an attempt and gives its resume offset: the engine starts after
// that many tokens. The offset lies up to Options.Overlap tokens before the
// last accepted one.
func (a *Assembler) Begin(number int, now time.Time) uint64 {
	a.Fail(number)
	start := a.resumeOffset()
	a.attempts = append(a.attempts, attempt{number: number, start: start, next: start + 1, progress: now})
	return start
}

// resumeOffset never lies before the replay buffer, so that each token that is
// sent again can be compared.
func (a *Assembler) resumeOffset() uint64 {
	overlap := min(uint64(a.opts.Overlap), uint64(a.buffer.len()))
	return a.count - overlap
}

// Fail ends an attempt; tokens that it still sends are rejected.
func (a *Assembler) Fail(number int) {
	for i := range a.attempts {
		if a.attempts[i].number == number {
			a.attempts = append(a.attempts[:i], a.attempts[i+1:]...)
			return
		}
	}
}

// Append takes the next token of an attempt in the order of arrival.
func (a *Assembler) Append(number int, text string, now time.Time) (Token, Verdict, error) {
	at := a.find(number)
	if at == nil {
		return Token{}, Rejected, a.missing()
	}
	return a.Accept(number, at.next, text, now)
}

// Accept takes the token with the given number from an attempt. An error ends
// the attempt.
func (a *Assembler) Accept(number int, n uint64, text string, now time.Time) (Token, Verdict, error) {
	at := a.find(number)
	if at == nil {
		return Token{}, Rejected, a.missing()
	}
	if a.end != nil {
		a.Fail(number)
		return Token{}, Rejected, ErrFinished
	}
	if n != at.next {
		want := at.next
		a.Fail(number)
		return Token{}, Rejected, &GapError{Attempt: number, Want: want, Got: n}
	}
	if n <= a.count {
		return a.compare(at, n, text, now)
	}
	a.advance(at, now)
	return a.push(n, text), Accepted, nil
}

// compare checks a token that another attempt has already delivered. A token
// that has left the replay buffer can't be compared: that attempt lags too far
// behind to be trusted and is ended.
func (a *Assembler) compare(at *attempt, n uint64, text string, now time.Time) (Token, Verdict, error) {
	have, ok := a.buffer.at(n)
	if !ok || have.Text != text {
		number := at.number
		a.Fail(number)
		return Token{}, Rejected, &DivergedError{Attempt: number, Number: n}
	}
	a.advance(at, now)
	return have, Duplicate, nil
}

func (a *Assembler) advance(at *attempt, now time.Time) {
	at.next++
	at.progress = now
	at.received = true
}

func (a *Assembler) push(n uint64, text string) Token {
	t := Token{Number: n, Text: text}
	a.count = n
	a.digest.Write([]byte(text))
	a.buffer.push(t)
	return t
}

// Finish ends the stream: the attempt reported its regular end. The count is
// the engine's completion_tokens, over the whole completion or over this
// attempt alone; 0 means that the engine sent none. An attempt that lost tokens
// matches neither.
func (a *Assembler) Finish(number int, count uint64, _ time.Time) (End, error) {
	at := a.find(number)
	if at == nil {
		return End{}, a.missing()
	}
	total := at.next - 1
	own := total - at.start
	if total != a.count || (count != 0 && count != total && count != own) {
		a.Fail(number)
		return End{}, &CountError{Attempt: number, Have: a.count, Got: max(count, total)}
	}
	if a.end == nil {
		a.end = &End{Count: a.count, SHA256: a.SHA256()}
	}
	return *a.end, nil
}

// StallAt gives the time at which the attempt counts as stalled unless it sends
// a token before; the zero time for an unknown attempt.
func (a *Assembler) StallAt(number int) time.Time {
	at := a.find(number)
	if at == nil {
		return time.Time{}
	}
	if at.received {
		return at.progress.Add(a.opts.TokenGap)
	}
	return at.progress.Add(a.opts.FirstGap)
}

// Stalled says whether the attempt has sent nothing for too long.
func (a *Assembler) Stalled(number int, now time.Time) bool {
	limit := a.StallAt(number)
	return !limit.IsZero() && a.end == nil && !now.Before(limit)
}

// Hold restarts the gap of an attempt. Call it when reading resumes after
// backpressure from a slow caller, which is no fault of the engine.
func (a *Assembler) Hold(number int, now time.Time) {
	if at := a.find(number); at != nil {
		at.progress = now
	}
}

// After gives the tokens with numbers above n, for Last-Event-ID. It fails with
// ErrTooOld if one of them has left the replay buffer.
func (a *Assembler) After(n uint64) ([]Token, error) {
	if n >= a.count {
		return nil, nil
	}
	if first := a.buffer.first(); n+1 < first {
		return nil, ErrTooOld
	}
	return a.buffer.after(n), nil
}

// Room gives the number of tokens that may still be accepted before the token
// that follows n leaves the replay buffer by count, and false if the buffer's
// bytes are used up. A reader at n that finds no room stops the engine's
// connection from being read, which slows the engine down.
func (a *Assembler) Room(n uint64) (tokens int, ok bool) {
	unread := int(a.count - min(n, a.count))
	tokens = a.opts.ReplayTokens - unread
	full := unread > 0 && a.buffer.bytes >= a.opts.ReplayBytes && n+1 <= a.buffer.first()
	return max(tokens, 0), tokens > 0 && !full
}

// Count gives the number of tokens accepted.
func (a *Assembler) Count() uint64 { return a.count }

// SHA256 gives the hex digest of the text accepted so far.
func (a *Assembler) SHA256() string { return hex.EncodeToString(a.digest.Sum(nil)) }

// End gives the end of the stream, false before Finish.
func (a *Assembler) End() (End, bool) {
	if a.end == nil {
		return End{}, false
	}
	return *a.end, true
}

func (a *Assembler) find(number int) *attempt {
	for i := range a.attempts {
		if a.attempts[i].number == number {
			return &a.attempts[i]
		}
	}
	return nil
}

func (a *Assembler) missing() error {
	if a.end != nil {
		return ErrFinished
	}
	return ErrUnknownAttempt
}
