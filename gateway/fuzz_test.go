package gateway

import (
	"bytes"
	"strconv"
	"strings"
	"testing"

	"damaskbridge.example/damaskbridge/buffers"
)

// FuzzEvents guards against events that depend on how a stream is cut into reads, that
// come twice or out of order, and against room that is not given back.
func FuzzEvents(f *testing.F) {
	f.Add([]byte(events(1, 3)), uint8(5), false)
	f.Add([]byte(": hello\n\n"+events(1, 1)+"\n\n"+events(1, 2)), uint8(1), false)
	f.Add([]byte(strings.ReplaceAll(events(1, 3), "\n", "\r\n")), uint8(7), true)
	f.Add([]byte(events(3, 4)+"data: no number\n\n"), uint8(9), true)
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\nid: x\n\n"), uint8(3), true)
	f.Add([]byte("x-weight-versions: 7\nid: 9223372036854775808\ndata: a\n\nid: -1\n\n"), uint8(2), true)
	f.Fuzz(func(t *testing.T, stream []byte, step uint8, resumed bool) {
		whole, wholeErr := split(t, stream, len(stream)+1, resumed)
		parts, partsErr := split(t, stream, int(step)+1, resumed)
		if (wholeErr == nil) != (partsErr == nil) || wholeErr == nil && !bytes.Equal(whole, parts) {
			t.Fatalf("read at once %q, %v; in parts %q, %v", whole, wholeErr, parts, partsErr)
		}
		last := int64(-1 << 63)
		for rest := whole; len(rest) > 0; {
			end := endOfEvent(rest, 0)
			if end < 0 {
				t.Fatalf("the end of %q is no event", whole)
			}
			n, err := strconv.ParseInt(eventID(rest[:end]), 10, 64)
			rest = rest[end:]
			if err != nil {
				continue
			}
			if n < last || n == last {
				t.Fatalf("event %d after %d", n, last)
			}
			last = n
		}
	})
}

// split returns the events of a stream that is read in steps.
func split(t *testing.T, stream []byte, step int, resumed bool) (all []byte, err error) {
	m := buffers.New(maxEventBytes)
	s := eventSplitter{account: m.NewAccount(buffers.Events, 0)}
	if resumed {
		s.beginResumedLeg()
	}
	for len(stream) > 0 && err == nil {
		var passed []byte
		n := min(step, len(stream))
		passed, _, err = s.push(stream[:n])
		all = append(all, passed...)
		stream = stream[n:]
	}
	s.account.Close()
	if m.Used() != 0 {
		t.Fatalf("%d bytes were not given back", m.Used())
	}
	return all, err
}
