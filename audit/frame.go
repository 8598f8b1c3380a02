package audit

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
)

// A segment is a sequence of frames: a header, batches and, once it is full, a
// seal. A frame is: magic (4 bytes), length of the payload (4), CRC-32C of
// length and payload (4), payload. A payload is: kind (1), the segment's
// durable size when the frame was written (4), CBOR body, chain hash (32).

type frameKind uint8

const (
	frameHeader frameKind = iota + 1
	frameBatch
	frameSeal
	// frameIndex is in index files only.
	frameIndex
)

const (
	frameMagic      uint32 = 0x446d4175 // "DmAu"
	frameHeadBytes         = 12
	payloadHead            = 5
	hashBytes              = sha256.Size
	minPayloadBytes        = payloadHead + hashBytes
	// maxPayloadBytes bounds one frame, so that a damaged length allocates
	// little.
	maxPayloadBytes = 64 << 20
)

type hash [hashBytes]byte

// segmentHeader is the body of a header frame.
type segmentHeader struct {
	Number        uint64 `cbor:"1,keyasint"`
	CreatedUnixMS int64  `cbor:"2,keyasint"`
	// Prev is the chain hash at the end of the segment before.
	Prev hash `cbor:"3,keyasint"`
}

// segmentSeal is the body of a seal frame.
type segmentSeal struct {
	SealedUnixMS int64  `cbor:"1,keyasint"`
	Records      uint64 `cbor:"2,keyasint"`
}

// frame is one decoded frame.
type frame struct {
	kind frameKind
	// synced is the segment's durable size when the frame was written.
	synced uint32
	body   []byte
	hash   hash
	size   int64
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// link extends the chain by one part.
func link(prev hash, part []byte) hash {
	h := sha256.New()
	h.Write(prev[:])
	h.Write(part)
	var next hash
	h.Sum(next[:0])
	return next
}

// chainFrame gives the hash after a frame: one link for the frame itself and,
// for a batch, one for each record.
func chainFrame(prev hash, kind frameKind, synced uint32, body []byte, batch *encodedBatch) hash {
	head := make([]byte, payloadHead, payloadHead+64)
	head[0] = byte(kind)
	binary.BigEndian.PutUint32(head[1:], synced)
	if batch == nil {
		return link(prev, append(head, body...))
	}
	head = append(head, batch.Session.String()...)
	head = binary.BigEndian.AppendUint64(head, batch.Number)
	head = binary.BigEndian.AppendUint32(head, uint32(len(batch.Records)))
	h := link(prev, head)
	for _, raw := range batch.Records {
		h = link(h, raw)
	}
	return h
}

// appendFrame writes a frame to buf and gives the chain hash after it.
func appendFrame(buf *bytes.Buffer, prev hash, kind frameKind, synced uint32, v any) (hash, error) {
	body, err := encMode.Marshal(v)
	if err != nil {
		return prev, fmt.Errorf("audit: encode frame: %w", err)
	}
	length := minPayloadBytes + len(body)
	if length > maxPayloadBytes {
		return prev, fmt.Errorf("audit: a frame has %d bytes and the limit is %d; send smaller batches", length, maxPayloadBytes)
	}
	batch, _ := v.(*encodedBatch)
	next := chainFrame(prev, kind, synced, body, batch)
	out := make([]byte, 0, frameHeadBytes+length)
	out = binary.BigEndian.AppendUint32(out, frameMagic)
	out = binary.BigEndian.AppendUint32(out, uint32(length))
	out = binary.BigEndian.AppendUint32(out, 0)
	out = append(out, byte(kind))
	out = binary.BigEndian.AppendUint32(out, synced)
	out = append(out, body...)
	out = append(out, next[:]...)
	binary.BigEndian.PutUint32(out[8:], checksum(out))
	buf.Write(out)
	return next, nil
}

// checksum covers the length and the payload of a frame.
func checksum(framed []byte) uint32 {
	crc := crc32.Update(0, castagnoli, framed[4:8])
	return crc32.Update(crc, castagnoli, framed[frameHeadBytes:])
}

// badFrame says why the bytes at an offset are no frame.
type badFrame struct{ detail string }

func (e *badFrame) Error() string { return "audit: no valid frame: " + e.detail }

// readFrame reads the frame at the start of r. At the end of the input it
// returns io.EOF; bytes that are no frame give *badFrame.
func readFrame(r io.Reader) (frame, error) {
	var head [frameHeadBytes]byte
	switch n, err := io.ReadFull(r, head[:]); {
	case err == io.EOF && n == 0:
		return frame{}, io.EOF
	case err == io.ErrUnexpectedEOF:
		return frame{}, &badFrame{"the frame's head is cut off"}
	case err != nil:
		return frame{}, err
	}
	if binary.BigEndian.Uint32(head[:]) != frameMagic {
		return frame{}, &badFrame{"the frame's magic number is wrong"}
	}
	length := binary.BigEndian.Uint32(head[4:])
	if length < minPayloadBytes || length > maxPayloadBytes {
		return frame{}, &badFrame{fmt.Sprintf("the length %d is out of bounds", length)}
	}
	framed := bytes.NewBuffer(append(make([]byte, 0, frameHeadBytes+min(int(length), 1<<20)), head[:]...))
	switch n, err := io.CopyN(framed, r, int64(length)); {
	case err == io.EOF:
		return frame{}, &badFrame{fmt.Sprintf("the frame is cut off after %d of %d bytes", n, length)}
	case err != nil:
		return frame{}, err
	}
	all := framed.Bytes()
	if checksum(all) != binary.BigEndian.Uint32(head[8:]) {
		return frame{}, &badFrame{"the checksum is wrong"}
	}
	return splitFrame(all), nil
}

// splitFrame takes apart a frame whose checksum and length are right.
func splitFrame(all []byte) frame {
	payload := all[frameHeadBytes:]
	f := frame{
		kind:   frameKind(payload[0]),
		synced: binary.BigEndian.Uint32(payload[1:]),
		body:   payload[payloadHead : len(payload)-hashBytes],
		size:   int64(len(all)),
	}
	copy(f.hash[:], payload[len(payload)-hashBytes:])
	return f
}

// batch decodes the body of a batch frame.
func (f *frame) batch() (*encodedBatch, error) {
	var b encodedBatch
	if err := decMode.Unmarshal(f.body, &b); err != nil {
		return nil, err
	}
	return &b, b.open()
}

// check compares the frame's hash with the chain and gives its batch, if any.
func (f *frame) check(prev hash) (*encodedBatch, error) {
	var batch *encodedBatch
	if f.kind == frameBatch {
		b, err := f.batch()
		if err != nil {
			return nil, err
		}
		batch = b
	}
	if chainFrame(prev, f.kind, f.synced, f.body, batch) != f.hash {
		return nil, &badFrame{"the hash chain does not continue here"}
	}
	return batch, nil
}
