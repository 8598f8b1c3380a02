package stream

// Token is one token of the completion. Numbers start at 1 and are the event IDs
// that the caller sees.
type Token struct {
	Number uint64
	Text   string
}

// Verdict is the result of checking a received token.
type Verdict uint8

// Verdicts on a received token.
const (
	// Rejected: the attempt is faulty; see the error.
	Rejected Verdict = iota
	// Accepted: the token is new and must be passed to the caller.
	Accepted
	// Duplicate: an identical token was accepted before.
	Duplicate
)

// End describes a complete stream.
type End struct {
	Count uint64
	// SHA256 is the hex digest of the whole text.
	SHA256 string
}
