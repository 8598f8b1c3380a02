package ids

import "testing"

// FuzzParseRequestID guards against accepting more than one text form of a
// request id.
func FuzzParseRequestID(f *testing.F) {
	for _, s := range []string{"entry-1.3.7", "a.b.c.1.2", "vm.007.1", "vm.+1.2", "..1", "vm..1", ".1.2", "vm.1.18446744073709551616", ""} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		id, err := ParseRequestID(s)
		if err != nil {
			return
		}
		if id.String() != s {
			t.Fatalf("%q was parsed and formatted as %q", s, id)
		}
	})
}

// FuzzRequestIDString guards against ids whose text form, which callers receive,
// cannot be parsed back.
func FuzzRequestIDString(f *testing.F) {
	f.Add("entry-1", uint64(3), uint64(7))
	f.Add("a.1.2", uint64(0), ^uint64(0))
	f.Fuzz(func(t *testing.T, vm string, incarnation, seq uint64) {
		if vm == "" {
			return
		}
		id := RequestID{Session: SessionID{VM: VMID(vm), Incarnation: Incarnation(incarnation)}, Seq: seq}
		parsed, err := ParseRequestID(id.String())
		if err != nil || parsed != id {
			t.Fatalf("%q was parsed as %v, %v", id, parsed, err)
		}
	})
}
