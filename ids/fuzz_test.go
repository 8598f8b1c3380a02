package ids

import "testing"

// FuzzParseRequestID guards against two texts for one request id, and against
// an id that its own text does not give back.
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
			t.Fatalf("%q is written as %q", s, id)
		}
	})
}

// FuzzRequestIDString guards against an id that cannot be looked up by the text
// that its caller was given.
func FuzzRequestIDString(f *testing.F) {
	f.Add("entry-1", uint64(3), uint64(7))
	f.Add("a.1.2", uint64(0), ^uint64(0))
	f.Fuzz(func(t *testing.T, vm string, incarnation, seq uint64) {
		if vm == "" {
			return
		}
		id := RequestID{Session: SessionID{VM: VMID(vm), Incarnation: Incarnation(incarnation)}, Seq: seq}
		back, err := ParseRequestID(id.String())
		if err != nil || back != id {
			t.Fatalf("%q gives %v, %v", id, back, err)
		}
	})
}
