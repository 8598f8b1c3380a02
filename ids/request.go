package ids

import (
	"fmt"
	"strconv"
	"strings"
)

// RequestID names one request: the session that accepted it and its sequence
// number in that session. It is never reused.
type RequestID struct {
	Session SessionID `cbor:"1,keyasint" json:"session"`
	Seq     uint64    `cbor:"2,keyasint" json:"seq"`
}

// String gives "vm.incarnation.seq".
func (r RequestID) String() string {
	return fmt.Sprintf("%s.%d", r.Session, r.Seq)
}

// ParseRequestID reads the form that String writes, and no other: an id has one
// text, so that texts can be compared.
func ParseRequestID(s string) (RequestID, error) {
	head, seqText, ok := cutLast(s)
	if !ok {
		return RequestID{}, fmt.Errorf("request id %q: want vm.incarnation.seq", s)
	}
	vm, incText, ok := cutLast(head)
	if !ok || vm == "" {
		return RequestID{}, fmt.Errorf("request id %q: want vm.incarnation.seq", s)
	}
	seq, err := strconv.ParseUint(seqText, 10, 64)
	if err != nil {
		return RequestID{}, fmt.Errorf("request id %q: sequence number: %w", s, err)
	}
	inc, err := strconv.ParseUint(incText, 10, 64)
	if err != nil {
		return RequestID{}, fmt.Errorf("request id %q: incarnation: %w", s, err)
	}
	session := SessionID{VM: VMID(vm), Incarnation: Incarnation(inc)}
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
