// Package jsonlist splits a list in a JSON document whose elements come from
// several writers. An element that is torn, or nested too deeply for a decoder,
// costs that element alone.
package jsonlist

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"
)

const (
	// maxTornReturned is the number of torn elements that are returned. More of them are
	// passed over.
	maxTornReturned = 32
	// maxWorkFactor bounds the bytes that are read for torn elements, as a multiple of the
	// document's length.
	maxWorkFactor = 16
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
	ErrNoList  = errors.New("jsonlist: the document has no such list")
	ErrNoEnd   = errors.New("jsonlist: the list has no end")
	ErrTooTorn = errors.New("jsonlist: the elements of the list are torn in too many ways")
)

// Split returns the elements of the list that stands under a field of a document,
// and the document with an empty list in its place. A torn element is returned
// with its first bytes, up to maxTornReturned of them; it does not decode.
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
// bracket that ends the list. After an element that is torn it goes on behind the
// objects that were whole inside of what it seemed to hold, at the next object that
// follows a comma: an element that was cut short seems to hold those after it.
func split(b []byte, start int) (elements []json.RawMessage, end int, err error) {
	s := scanner{b: b}
	torn, accepted := 0, start
	work := 0
	for at := start; at >= 0; {
		end, ok := s.scan(at)
		if raw := bytes.TrimSpace(b[at:end]); ok && isElement(raw) {
			elements = append(elements, raw)
			accepted = end
			if b[end] == separator {
				at = end + 1
				continue
			}
			if endsList(b, start, end) {
				return elements, end, nil
			}
			work += len(b)
		}
		if work += end - at; work > maxWorkFactor*len(b) {
			return nil, 0, ErrTooTorn
		}
		if torn++; torn <= maxTornReturned {
			elements = append(elements, tornElement(b, at, nextObject(b, at)))
		}
		next := max(at, accepted)
		for _, o := range s.whole {
			if raw := b[o.start:o.end]; mayFollowElement(b[o.end:]) && isElement(raw) {
				elements = append(elements, raw)
				accepted, next = o.end, o.end
			}
		}
		at = nextObject(b, next)
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

// mayFollowElement reports whether the bytes after an object may be those after an
// element.
func mayFollowElement(rest []byte) bool {
	rest = bytes.TrimLeft(rest, space)
	return len(rest) > 0 && (rest[0] == separator || rest[0] == ']')
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
