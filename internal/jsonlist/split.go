// Package jsonlist splits a list in a JSON document whose elements come from
// several writers. An element that is torn, or nested too deeply for a decoder,
// costs that element alone.
package jsonlist

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

const (
	// maxTornElements bounds the search for the next element after a torn one.
	maxTornElements = 32
	// maxEndsTried bounds the search for the end of a list whose last element is
	// torn.
	maxEndsTried = 64
	// maxTornBytes is how many bytes of a torn element are returned.
	maxTornBytes = 200
	// separator stands between two elements, space around them.
	separator = ','
	space     = " \n\r\t"
)

// Errors of Split.
var (
	ErrNoList      = errors.New("jsonlist: the document has no such list")
	ErrNoEnd       = errors.New("jsonlist: the list has no end")
	ErrTooManyTorn = fmt.Errorf("jsonlist: more than %d elements of the list are torn", maxTornElements)
)

// Split returns the elements of the list that stands under a field of a document,
// and the document with an empty list in its place. A torn element is returned
// with its first bytes; it does not decode.
func Split(document []byte, field string) (elements []json.RawMessage, around []byte, err error) {
	start, err := listStart(document, field)
	if err != nil {
		return nil, nil, err
	}
	elements, end, err := split(document, start)
	if err != nil {
		return nil, nil, err
	}
	return elements, withoutElements(document, start, end), nil
}

// SplitPage is Split for a document in which the field next follows the list. If
// the document may be cut short, that field must be there: the end of a list inside
// the last element may look like that of the list itself.
func SplitPage(document []byte, field, next string, mayBeCut bool) (elements []json.RawMessage, around []byte, err error) {
	elements, around, err = Split(document, field)
	if err != nil || !mayBeCut {
		return elements, around, err
	}
	start, err := listStart(around, field)
	if err == nil && !bytes.Contains(around[start:], strconv.AppendQuote(nil, next)) {
		err = ErrNoEnd
	}
	return elements, around, err
}

// listStart returns the position after the bracket that opens the list.
func listStart(b []byte, field string) (int, error) {
	key := strconv.AppendQuote(nil, field)
	at := bytes.Index(b, key)
	if at < 0 {
		return 0, ErrNoList
	}
	rest := at + len(key)
	open := bytes.IndexByte(b[rest:], '[')
	if open < 0 {
		return 0, ErrNoList
	}
	return rest + open + 1, nil
}

// split returns the elements from position start on and the position of the
// bracket that ends the list. After an element that is no JSON it goes on at the
// next object that follows a comma, which may stand inside: an element that was cut
// short seems to hold those after it.
func split(b []byte, start int) (elements []json.RawMessage, end int, err error) {
	torn, accepted := 0, start
	for at := start; at >= 0; {
		raw, ok := firstElement(b[at:])
		if ok {
			elements = append(elements, bytes.TrimSpace(raw))
			accepted = at + len(raw)
			if b[accepted] == separator {
				at = accepted + 1
				continue
			}
			if endsList(b, start, accepted) {
				return elements, accepted, nil
			}
			at = accepted
		}
		if torn++; torn > maxTornElements {
			return nil, 0, ErrTooManyTorn
		}
		next := nextObject(b, at)
		elements = append(elements, tornElement(b, at, next))
		at = next
	}
	end, err = listEnd(b, start, accepted)
	return elements, end, err
}

// tornElement returns the first bytes of a torn element. The next one begins at
// next, which is negative if there is none.
func tornElement(b []byte, at, next int) json.RawMessage {
	if next < 0 {
		next = len(b)
	}
	// With this prefix it cannot pass for a whole one.
	return append(json.RawMessage("torn: "), b[at:min(next, at+maxTornBytes)]...)
}

// listEnd returns the end of a list whose last element is torn: the first bracket,
// from position accepted on, after which the document is complete.
func listEnd(b []byte, start, accepted int) (int, error) {
	tried := 0
	for end := accepted; end < len(b) && tried < maxEndsTried; end++ {
		if b[end] != ']' || !mayFollowList(b[end+1:]) {
			continue
		}
		tried++
		if endsList(b, start, end) {
			return end, nil
		}
	}
	return 0, ErrNoEnd
}

// mayFollowList reports whether the bytes after a bracket may be those after a
// field's list: the end of the document or another field.
func mayFollowList(rest []byte) bool {
	rest = bytes.TrimLeft(rest, space)
	if len(rest) == 0 || rest[0] == '}' {
		return len(rest) > 0
	}
	if rest[0] != separator {
		return false
	}
	rest = bytes.TrimLeft(rest[1:], space)
	return len(rest) > 0 && rest[0] == '"'
}

// endsList reports whether the document is complete with the bracket at end.
func endsList(b []byte, start, end int) bool { return json.Valid(withoutElements(b, start, end)) }

func withoutElements(b []byte, start, end int) []byte {
	return append(bytes.Clone(b[:start]), b[end:]...)
}

// nextObject returns the position of the next object that follows a comma, or -1.
func nextObject(b []byte, at int) int {
	for i := at; i < len(b); i++ {
		if b[i] != separator {
			continue
		}
		rest := bytes.TrimLeft(b[i+1:], space)
		if len(rest) > 0 && rest[0] == '{' {
			return len(b) - len(rest)
		}
	}
	return -1
}

// firstElement returns the bytes up to the comma or the bracket that ends the first
// element of b. It returns false if they are no JSON, or a list, which an element
// that was cut short may seem to open.
func firstElement(b []byte) ([]byte, bool) {
	n, ok := elementLength(b)
	if !ok {
		return nil, false
	}
	raw := bytes.TrimSpace(b[:n])
	if len(raw) == 0 || raw[0] == '[' || !json.Valid(raw) {
		return nil, false
	}
	return b[:n], true
}

// elementLength returns the number of bytes up to the comma or the bracket that ends
// the first element of b. It returns false if brackets or quotes do not match.
func elementLength(b []byte) (int, bool) {
	var open []byte
	inString := false
	for i := 0; i < len(b); i++ {
		c := b[i]
		if inString {
			switch c {
			case '\\':
				i++
			case '"':
				inString = false
			}
			continue
		}
		switch c {
		case '"':
			inString = true
		case '{':
			open = append(open, '}')
		case '[':
			open = append(open, ']')
		case '}', ']':
			if len(open) == 0 {
				return i, c == ']'
			}
			if open[len(open)-1] != c {
				return 0, false
			}
			open = open[:len(open)-1]
		case separator:
			if len(open) == 0 {
				return i, true
			}
		}
	}
	return 0, false
}
