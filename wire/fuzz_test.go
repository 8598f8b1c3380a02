package wire

import (
	"bytes"
	"testing"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/settings"
)

// FuzzDecode guards against a message that panics the decoder, and against one
// that another VM would read differently after it is forwarded.
func FuzzDecode(f *testing.F) {
	session := ids.SessionID{VM: "entry-1", Incarnation: 3}
	seeds := []any{
		Propose{Group: 1, Command: command.Command{Claim: &command.Claim{Workspace: "w", Key: "k", Request: ids.RequestID{Session: session, Seq: 1}}}},
		ProposeReply{Done: true, Result: command.Result{Detail: "x"}, Leader: "127.0.0.1:1"},
		Renew{Session: session, Region: "north", InForce: 4, Signs: []settings.Sign{{}}},
		RenewReply{OK: true, AgeMS: 1, TermMS: 3000, Version: 5, Changes: []settings.Change{{ID: "c", Base: 4}}, Snapshot: []byte{1}},
	}
	for i, s := range seeds {
		raw, err := Encode(s)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(i), raw)
		f.Add(uint8(i), raw[:len(raw)/2])
	}
	f.Add(uint8(0), []byte{0xa1, 0x01, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, kind uint8, raw []byte) {
		switch kind % 4 {
		case 0:
			roundTrip[Propose](t, raw)
		case 1:
			roundTrip[ProposeReply](t, raw)
		case 2:
			roundTrip[Renew](t, raw)
		default:
			roundTrip[RenewReply](t, raw)
		}
	})
}

// roundTrip checks that a message that can be read is the same after it is
// written and read again.
func roundTrip[M any](t *testing.T, raw []byte) {
	var first, second M
	if Decode(raw, &first) != nil {
		return
	}
	one, err := Encode(first)
	if err != nil {
		t.Fatalf("%T was read but cannot be written: %v", first, err)
	}
	if err := Decode(one, &second); err != nil {
		t.Fatalf("%T was written but cannot be read: %v", first, err)
	}
	two, err := Encode(second)
	if err != nil || !bytes.Equal(one, two) {
		t.Fatalf("%T differs after forwarding: %x, then %x, %v", first, one, two, err)
	}
}
