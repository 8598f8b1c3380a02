package stream

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"time"
)

// Assembler merges the attempts of one completion into one token stream. Several
// attempts may run at the same time, for instance with a hedge.
type Assembler struct {
	opts     Options
	attempts []attempt
	replay   replayBuffer
	count    uint64
	digest   hash.Hash
	end      *End
}

// NewAssembler returns an empty assembler. The options must pass Options.Check.
func NewAssembler(opts Options) *Assembler {
	return &Assembler{
		opts:   opts,
		replay: replayBuffer{maxTokens: opts.ReplayTokens, maxBytes: opts.ReplayBytes},
		digest: sha256.New(),
	}
}

// Begin starts an attempt and returns its resume offset, the number of tokens
// that the engine must skip. The offset is up to Options.Overlap tokens before
// the last accepted token. An attempt with the same number is replaced.
func (a *Assembler) Begin(number int, now time.Time) uint64 {
	a.Fail(number)
	start := a.resumeOffset()
	a.attempts = append(a.attempts, attempt{number: number, resumeOffset: start, nextNumber: start + 1, lastProgress: now})
	return start
}

// resumeOffset returns the offset for the next attempt. It is never before the
// replay buffer, so that every repeated token can be compared.
func (a *Assembler) resumeOffset() uint64 {
	overlap := min(uint64(a.opts.Overlap), uint64(a.replay.len()))
	return a.count - overlap
}

// Fail ends an attempt. Further tokens from it are rejected.
func (a *Assembler) Fail(number int) {
	for i := range a.attempts {
		if a.attempts[i].number == number {
			a.attempts = append(a.attempts[:i], a.attempts[i+1:]...)
			return
		}
	}
}

// Append handles the next token of an attempt; tokens are numbered in the order
// of arrival. See Accept.
func (a *Assembler) Append(number int, text string, now time.Time) (Token, Verdict, error) {
	current := a.findAttempt(number)
	if current == nil {
		return Token{}, Rejected, a.missingAttemptError()
	}
	return a.Accept(number, current.nextNumber, text, now)
}

// Accept handles token n of an attempt. A token that is accepted for the first
// time is to be passed to the caller. An error ends the attempt.
func (a *Assembler) Accept(number int, n uint64, text string, now time.Time) (Token, Verdict, error) {
	current := a.findAttempt(number)
	if current == nil {
		return Token{}, Rejected, a.missingAttemptError()
	}
	if a.end != nil {
		a.Fail(number)
		return Token{}, Rejected, ErrFinished
	}
	if n != current.nextNumber {
		want := current.nextNumber
		a.Fail(number)
		return Token{}, Rejected, &GapError{Attempt: number, Want: want, Got: n}
	}
	if n <= a.count {
		return a.compareDuplicate(current, n, text, now)
	}
	a.advance(current, now)
	return a.appendToken(n, text), Accepted, nil
}

// compareDuplicate checks a token that another attempt has already delivered. If
// the token has left the replay buffer, it can't be compared; the attempt is
// then too far behind to be trusted and is ended.
func (a *Assembler) compareDuplicate(current *attempt, n uint64, text string, now time.Time) (Token, Verdict, error) {
	delivered, ok := a.replay.get(n)
	if !ok || delivered.Text != text {
		number := current.number
		a.Fail(number)
		return Token{}, Rejected, &DivergedError{Attempt: number, Number: n}
	}
	a.advance(current, now)
	return delivered, Duplicate, nil
}

func (a *Assembler) advance(current *attempt, now time.Time) {
	current.nextNumber++
	current.lastProgress = now
	current.receivedAny = true
}

func (a *Assembler) appendToken(n uint64, text string) Token {
	t := Token{Number: n, Text: text}
	a.count = n
	a.digest.Write([]byte(text))
	a.replay.push(t)
	return t
}

// Finish ends the stream after an attempt reported its regular end. Count is the
// engine's completion_tokens, which may cover the whole completion or only this
// attempt; 0 means that the engine sent none. After lost tokens, neither matches
// and Finish returns a *CountError.
func (a *Assembler) Finish(number int, count uint64, _ time.Time) (End, error) {
	current := a.findAttempt(number)
	if current == nil {
		return End{}, a.missingAttemptError()
	}
	total := current.nextNumber - 1
	sentByAttempt := total - current.resumeOffset
	if total != a.count || (count != 0 && count != total && count != sentByAttempt) {
		a.Fail(number)
		return End{}, &CountError{Attempt: number, Have: a.count, Got: max(count, total)}
	}
	if a.end == nil {
		a.end = &End{Count: a.count, SHA256: a.SHA256()}
	}
	return *a.end, nil
}

// StallDeadline returns the time at which the attempt counts as stalled unless
// it sends a token before, or the zero time for an unknown or paused attempt.
func (a *Assembler) StallDeadline(number int) time.Time {
	current := a.findAttempt(number)
	if current == nil || current.paused {
		return time.Time{}
	}
	if current.receivedAny {
		return current.lastProgress.Add(a.opts.TokenTimeout)
	}
	return current.lastProgress.Add(a.opts.FirstTokenTimeout)
}

// Stalled reports whether the attempt has sent nothing for too long.
func (a *Assembler) Stalled(number int, now time.Time) bool {
	limit := a.StallDeadline(number)
	return !limit.IsZero() && a.end == nil && !now.Before(limit)
}

// Pause suspends the stall timeout of an attempt. Call it before reading stops
// because of backpressure from a slow caller, which is no fault of the engine.
func (a *Assembler) Pause(number int) {
	if current := a.findAttempt(number); current != nil {
		current.paused = true
	}
}

// Resume restarts the stall timeout of a paused attempt.
func (a *Assembler) Resume(number int, now time.Time) {
	if current := a.findAttempt(number); current != nil {
		current.paused = false
		current.lastProgress = now
	}
}

// TokensAfter returns the tokens with numbers above n, for Last-Event-ID. It
// returns ErrEvicted if one of them has left the replay buffer.
func (a *Assembler) TokensAfter(n uint64) ([]Token, error) {
	if n >= a.count {
		return nil, nil
	}
	if first := a.replay.firstNumber(); n+1 < first {
		return nil, ErrEvicted
	}
	return a.replay.after(n), nil
}

// FreeTokens returns how many more tokens can be accepted before the token
// after n is dropped from the replay buffer because of ReplayTokens. Ok is
// false if there is no room left, also if ReplayBytes is reached. The reader at
// n then stops reading from the engine's connection, which slows the engine
// down.
func (a *Assembler) FreeTokens(n uint64) (tokens int, ok bool) {
	unread := int(a.count - min(n, a.count))
	tokens = a.opts.ReplayTokens - unread
	full := unread > 0 && a.replay.bytes >= a.opts.ReplayBytes && n+1 <= a.replay.firstNumber()
	return max(tokens, 0), tokens > 0 && !full
}

// Count returns the number of accepted tokens.
func (a *Assembler) Count() uint64 { return a.count }

// SHA256 returns the hex digest of the text accepted so far.
func (a *Assembler) SHA256() string { return hex.EncodeToString(a.digest.Sum(nil)) }

// End returns the end of the stream, or false before Finish.
func (a *Assembler) End() (End, bool) {
	if a.end == nil {
		return End{}, false
	}
	return *a.end, true
}

func (a *Assembler) findAttempt(number int) *attempt {
	for i := range a.attempts {
		if a.attempts[i].number == number {
			return &a.attempts[i]
		}
	}
	return nil
}

func (a *Assembler) missingAttemptError() error {
	if a.end != nil {
		return ErrFinished
	}
	return ErrUnknownAttempt
}
