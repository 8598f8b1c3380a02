package ids

import (
	"fmt"
	"strconv"
	"strings"
)

// RequestID identifies a request by the session that accepted it and its
// sequence number in that session. It is never reused.
type RequestID struct {
	Session SessionID `cbor:"1,keyasint" json:"session"`
	Seq     uint64    `cbor:"2,keyasint" json:"seq"`
}

// String returns the id as "vm.incarnation.seq".
func (r RequestID) String() string {
	return fmt.Sprintf("%s.%d", r.Session, r.Seq)
}

// ParseRequestID parses the form that String returns, and no other: an id has a
// single text form, so that ids can be compared as text.
func ParseRequestID(s string) (RequestID, error) {
	sessionText, seqText, ok := cutLast(s)
	if !ok {
		return RequestID{}, fmt.Errorf("request id %q: want vm.incarnation.seq", s)
	}
	vm, incarnationText, ok := cutLast(sessionText)
	if !ok || vm == "" {
		return RequestID{}, fmt.Errorf("request id %q: want vm.incarnation.seq", s)
	}
	seq, err := strconv.ParseUint(seqText, 10, 64)
	if err != nil {
		return RequestID{}, fmt.Errorf("request id %q: sequence number: %w", s, err)
	}
	incarnation, err := strconv.ParseUint(incarnationText, 10, 64)
	if err != nil {
		return RequestID{}, fmt.Errorf("request id %q: incarnation: %w", s, err)
	}
	session := SessionID{VM: VMID(vm), Incarnation: Incarnation(incarnation)}
	id := RequestID{Session: session, Seq: seq}
	if id.String() != s {
		return RequestID{}, fmt.Errorf("request id %q: numbers have leading zeros; write %q", s, id)
	}
	return id, nil
}

// cutLast splits s at its last dot. VM names may contain dots themselves.
func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '.')
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}
