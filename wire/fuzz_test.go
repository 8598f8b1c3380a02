package wire

import (
	"bytes"
	"testing"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/settings"
)

// FuzzDecode guards against a message that panics the decoder, and against one
// that changes when a VM decodes it and forwards it to another VM.
func FuzzDecode(f *testing.F) {
	session := ids.SessionID{VM: "entry-1", Incarnation: 3}
	seeds := []any{
		Propose{Group: 1, Command: command.Command{Claim: &command.Claim{Workspace: "w", Key: "k", Request: ids.RequestID{Session: session, Seq: 1}}}},
		ProposeReply{Done: true, Result: command.Result{Detail: "x"}, Leader: "127.0.0.1:1"},
		Renew{Session: session, Region: "north", SettingsVersion: 4, Observations: []settings.Observation{{}}},
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

// roundTrip checks that a message that can be decoded is unchanged after it is
// encoded and decoded again.
func roundTrip[M any](t *testing.T, raw []byte) {
	var first, second M
	if Decode(raw, &first) != nil {
		return
	}
	encoded, err := Encode(first)
	if err != nil {
		t.Fatalf("%T was decoded but cannot be encoded: %v", first, err)
	}
	if err := Decode(encoded, &second); err != nil {
		t.Fatalf("%T was encoded but cannot be decoded: %v", first, err)
	}
	reencoded, err := Encode(second)
	if err != nil || !bytes.Equal(encoded, reencoded) {
		t.Fatalf("%T differs after forwarding: %x before, %x after, error %v", first, encoded, reencoded, err)
	}
}
