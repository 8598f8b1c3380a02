package jsonlist

import "encoding/json"

// maxDepth is the depth of brackets from which an element is torn.
const maxDepth = 512

// span is a part of the document.
type span struct{ start, end int }

// bracket is one that is open.
type bracket struct {
	closing byte
	start   int
	// element is true if the bracket opens an object behind a comma, which may be an
	// element of the list although it seems to stand inside a torn one.
	element bool
}

// scanner reads one element and remembers the objects in it that are whole.
type scanner struct {
	b    []byte
	open []bracket
	// whole holds the outermost objects behind a comma that are closed, in order.
	whole []span
}

// scan reads the element at a position up to the comma or the bracket behind it. If it
// is torn, ok is false and end is the position at which that shows; the objects behind
// commas that are whole up to there are in s.whole.
func (s *scanner) scan(at int) (end int, ok bool) {
	s.open, s.whole = s.open[:0], nil
	behindComma := false
	for i := at; i < len(s.b); i++ {
		c := s.b[i]
		switch {
		case c == '"':
			if i = stringEnd(s.b, i+1); i < 0 {
				return len(s.b), false
			}
		case c == '{' || c == '[':
			if len(s.open) == maxDepth {
				return i, false
			}
			// The closing brackets stand two behind the opening ones.
			s.open = append(s.open, bracket{closing: c + 2, start: i, element: c == '{' && behindComma})
		case c == '}' || c == ']':
			if len(s.open) == 0 {
				return i, c == ']'
			}
			if !s.close(c, i+1) {
				return i, false
			}
		case c == separator && len(s.open) == 0:
			return i, true
		case !isOutsideStrings[c]:
			return i, false
		}
		behindComma = c == separator || behindComma && isSpace(c)
	}
	return len(s.b), false
}

// close closes the innermost bracket, up to a position. It returns false if another one
// is open.
func (s *scanner) close(c byte, end int) bool {
	last := s.open[len(s.open)-1]
	if last.closing != c {
		return false
	}
	s.open = s.open[:len(s.open)-1]
	if last.element {
		for len(s.whole) > 0 && s.whole[len(s.whole)-1].start > last.start {
			s.whole = s.whole[:len(s.whole)-1]
		}
		s.whole = append(s.whole, span{last.start, end})
	}
	return true
}

// stringEnd returns the position of the quote that ends a string, or -1.
func stringEnd(b []byte, at int) int {
	for i := at; i < len(b); i++ {
		switch {
		case b[i] == '"':
			return i
		case b[i] == '\\':
			i++
		case b[i] < ' ':
			return -1
		}
	}
	return -1
}

// isOutsideStrings holds the bytes that JSON has outside of strings. Where quotes do not
// match, others come soon.
var isOutsideStrings = func() (is [256]bool) {
	for _, c := range space + "{}[],:0123456789+-.eEtrufalsn" {
		is[c] = true
	}
	return is
}()

func isSpace(c byte) bool { return c == ' ' || c == '\n' || c == '\r' || c == '\t' }

// isElement reports whether raw, without space around it, is JSON and no list, which an
// element that was cut short may seem to open.
func isElement(raw []byte) bool { return len(raw) > 0 && raw[0] != '[' && json.Valid(raw) }
