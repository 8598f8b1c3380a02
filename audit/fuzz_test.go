package audit

import (
	"bytes"
	"testing"
)

// FuzzReadFrame guards against input that crashes the frame decoder, and
// against accepted frames that claim more bytes than the input has.
func FuzzReadFrame(f *testing.F) {
	var buf bytes.Buffer
	if _, err := appendFrame(&buf, hash{}, frameSeal, 9, segmentSeal{Records: 1}); err != nil {
		f.Fatal(err)
	}
	f.Add(buf.Bytes())
	f.Fuzz(func(t *testing.T, b []byte) {
		fr, err := readFrame(bytes.NewReader(b))
		if err == nil && (fr.size > int64(len(b)) || len(fr.body) > len(b)) {
			t.Fatalf("a frame of %d bytes was read from an input of %d bytes", fr.size, len(b))
		}
	})
}

// FuzzDecodeMessage guards against messages that crash a control VM, and
// against accepted batches that cannot be encoded and read back.
func FuzzDecodeMessage(f *testing.F) {
	e, err := encodeBatch(testSession("a"), &Batch{Number: 1, Records: []Record{testRecord(testSession("a"), 1, Begin)}})
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
		if _, err := fr.verify(hash{}); err != nil {
			t.Fatal(err)
		}
	})
}
