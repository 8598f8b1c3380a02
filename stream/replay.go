package stream

// replay is a bounded queue of the newest tokens with consecutive numbers.
type replay struct {
	tokens    []Token
	head      int
	bytes     int
	maxTokens int
	maxBytes  int
}

// push appends t and drops the oldest tokens beyond the bounds. The newest
// token always stays, even if it alone exceeds maxBytes.
func (r *replay) push(t Token) {
	r.tokens = append(r.tokens, t)
	r.bytes += len(t.Text)
	for r.len() > 1 && (r.len() > r.maxTokens || r.bytes > r.maxBytes) {
		r.bytes -= len(r.tokens[r.head].Text)
		r.tokens[r.head] = Token{}
		r.head++
	}
	r.compact()
}

// compact moves the live part to the front once half of the slice is dead, so
// that the memory stays bounded at a constant cost per token.
func (r *replay) compact() {
	if r.head <= len(r.tokens)/2 {
		return
	}
	n := copy(r.tokens, r.tokens[r.head:])
	clear(r.tokens[n:])
	r.tokens = r.tokens[:n]
	r.head = 0
}

func (r *replay) len() int { return len(r.tokens) - r.head }

// first gives the number of the oldest token held, 0 if there is none.
func (r *replay) first() uint64 {
	if r.len() == 0 {
		return 0
	}
	return r.tokens[r.head].Number
}

// at gives the token with the number n.
func (r *replay) at(n uint64) (Token, bool) {
	first := r.first()
	if first == 0 || n < first || n-first >= uint64(r.len()) {
		return Token{}, false
	}
	return r.tokens[r.head+int(n-first)], true
}

// after copies the tokens with numbers above n.
func (r *replay) after(n uint64) []Token {
	first := r.first()
	if first == 0 {
		return nil
	}
	skip := 0
	if n >= first {
		skip = int(n - first + 1)
	}
	if skip >= r.len() {
		return nil
	}
	return append([]Token(nil), r.tokens[r.head+skip:]...)
}
