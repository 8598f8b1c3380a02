package stream

// replayBuffer is a bounded queue of the latest tokens, numbered consecutively.
type replayBuffer struct {
	tokens    []Token
	head      int
	bytes     int
	maxTokens int
	maxBytes  int
}

// push appends t and drops the oldest tokens beyond the limits. The latest token
// is always kept, even if it alone exceeds maxBytes.
func (b *replayBuffer) push(t Token) {
	b.tokens = append(b.tokens, t)
	b.bytes += len(t.Text)
	for b.len() > 1 && (b.len() > b.maxTokens || b.bytes > b.maxBytes) {
		b.bytes -= len(b.tokens[b.head].Text)
		b.tokens[b.head] = Token{}
		b.head++
	}
	b.compact()
}

// compact moves the remaining tokens to the front once more than half of the
// slice is dropped. This bounds the memory at a constant amortized cost per
// token.
func (b *replayBuffer) compact() {
	if b.head <= len(b.tokens)/2 {
		return
	}
	n := copy(b.tokens, b.tokens[b.head:])
	clear(b.tokens[n:])
	b.tokens = b.tokens[:n]
	b.head = 0
}

func (b *replayBuffer) len() int { return len(b.tokens) - b.head }

// firstNumber returns the number of the oldest token, or 0 if there is none.
func (b *replayBuffer) firstNumber() uint64 {
	if b.len() == 0 {
		return 0
	}
	return b.tokens[b.head].Number
}

// get returns token n, or false if it is not in the buffer.
func (b *replayBuffer) get(n uint64) (Token, bool) {
	first := b.firstNumber()
	if first == 0 || n < first || n-first >= uint64(b.len()) {
		return Token{}, false
	}
	return b.tokens[b.head+int(n-first)], true
}

// after returns a copy of the tokens with numbers above n.
func (b *replayBuffer) after(n uint64) []Token {
	first := b.firstNumber()
	if first == 0 {
		return nil
	}
	skip := 0
	if n >= first {
		skip = int(n - first + 1)
	}
	if skip >= b.len() {
		return nil
	}
	return append([]Token(nil), b.tokens[b.head+skip:]...)
}
