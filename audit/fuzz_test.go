package audit

import (
	"bytes"
	"testing"
)

// No input may crash the decoder of frames, and a frame that it accepts has to
// be as long as it claims.
func FuzzReadFrame(f *testing.F) {
	var buf bytes.Buffer
	if _, err := appendFrame(&buf, hash{}, frameSeal, 9, segmentSeal{Records: 1}); err != nil {
		f.Fatal(err)
	}
	f.Add(buf.Bytes())
	f.Fuzz(func(t *testing.T, b []byte) {
		fr, err := readFrame(bytes.NewReader(b))
		if err == nil && (fr.size > int64(len(b)) || len(fr.body) > len(b)) {
			t.Fatalf("a frame of %d bytes was read from %d", fr.size, len(b))
		}
	})
}

// No message of a peer may crash a control VM, and an accepted batch can be
// encoded and read back.
func FuzzDecodeMessage(f *testing.F) {
	e, err := encodeBatch(sessionOf("a"), &Batch{Number: 1, Records: []Record{record(sessionOf("a"), 1, Begin)}})
	if err != nil {
		f.Fatal(err)
	}
	body, err := encMode.Marshal(appendMessage{Batch: e})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decodeMessage(b)
		if err != nil || m.Batch == nil {
			return
		}
		for i := range m.Batch.Records {
			if _, err := m.Batch.entry(i); err != nil {
				t.Fatalf("record %d of an accepted batch: %v", i, err)
			}
		}
		var buf bytes.Buffer
		if _, err := appendFrame(&buf, hash{}, frameBatch, 0, m.Batch); err != nil {
			t.Fatal(err)
		}
		fr, err := readFrame(&buf)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := fr.check(hash{}); err != nil {
			t.Fatal(err)
		}
	})
}
