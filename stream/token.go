package stream

// Token is one token of the completion. Number counts from 1 and is the event
// id that the caller sees.
type Token struct {
	Number uint64
	Text   string
}

// Verdict says what became of a received token.
type Verdict uint8

// Verdicts.
const (
	// Rejected means that the attempt is faulty; see the error.
	Rejected Verdict = iota
	// Accepted means that the token is new: pass it to the caller.
	Accepted
	// Duplicate means that the token was accepted earlier and is the same.
	Duplicate
)

// End describes a complete stream.
type End struct {
	Count uint64
	// SHA256 is the hex digest of the whole text.
	SHA256 string
}
