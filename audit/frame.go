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
// seal. A frame consists of a magic number (4 bytes), the length of the payload
// (4), the CRC-32C of length and payload (4), and the payload. A payload
// consists of the kind (1), the segment's durable size when the frame was
// written (4), the CBOR body, and the chain hash (32).

type frameKind uint8

const (
	frameHeader frameKind = iota + 1
	frameBatch
	frameSeal
	// frameIndex is used in index files only.
	frameIndex
)

const (
	frameMagic         uint32 = 0x446d4175 // "DmAu"
	framePrefixBytes          = 12
	payloadPrefixBytes        = 5
	hashBytes                 = sha256.Size
	minPayloadBytes           = payloadPrefixBytes + hashBytes
	// maxPayloadBytes limits one frame, so that a damaged length cannot cause a
	// large allocation.
	maxPayloadBytes = 64 << 20
)

type hash [hashBytes]byte

// segmentHeader is the body of a header frame.
type segmentHeader struct {
	Number        uint64 `cbor:"1,keyasint"`
	CreatedUnixMS int64  `cbor:"2,keyasint"`
	// Prev is the chain hash at the end of the previous segment.
	Prev hash `cbor:"3,keyasint"`
}

// segmentSeal is the body of a seal frame.
type segmentSeal struct {
	SealedUnixMS int64  `cbor:"1,keyasint"`
	Records      uint64 `cbor:"2,keyasint"`
}

// frame is a decoded frame.
type frame struct {
	kind frameKind
	// durableSize is the segment's durable size when the frame was written.
	durableSize uint32
	body        []byte
	hash        hash
	size        int64
}

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// extendChain returns the chain hash after data was added to the chain.
func extendChain(prev hash, data []byte) hash {
	h := sha256.New()
	h.Write(prev[:])
	h.Write(data)
	var next hash
	h.Sum(next[:0])
	return next
}

// chainHashAfter returns the chain hash after a frame. The frame is one link of
// the chain and, in a batch, each record is another.
func chainHashAfter(prev hash, kind frameKind, durableSize uint32, body []byte, batch *encodedBatch) hash {
	prefix := make([]byte, payloadPrefixBytes, payloadPrefixBytes+64)
	prefix[0] = byte(kind)
	binary.BigEndian.PutUint32(prefix[1:], durableSize)
	if batch == nil {
		return extendChain(prev, append(prefix, body...))
	}
	prefix = append(prefix, batch.Session.String()...)
	prefix = binary.BigEndian.AppendUint64(prefix, batch.Number)
	prefix = binary.BigEndian.AppendUint32(prefix, uint32(len(batch.Records)))
	h := extendChain(prev, prefix)
	for _, raw := range batch.Records {
		h = extendChain(h, raw)
	}
	return h
}

// appendFrame appends a frame to buf and returns the chain hash after it.
func appendFrame(buf *bytes.Buffer, prev hash, kind frameKind, durableSize uint32, v any) (hash, error) {
	body, err := encMode.Marshal(v)
	if err != nil {
		return prev, fmt.Errorf("audit: encode frame: %w", err)
	}
	length := minPayloadBytes + len(body)
	if length > maxPayloadBytes {
		return prev, fmt.Errorf("audit: the frame has %d bytes and the limit is %d; send smaller batches", length, maxPayloadBytes)
	}
	batch, _ := v.(*encodedBatch)
	next := chainHashAfter(prev, kind, durableSize, body, batch)
	framed := make([]byte, 0, framePrefixBytes+length)
	framed = binary.BigEndian.AppendUint32(framed, frameMagic)
	framed = binary.BigEndian.AppendUint32(framed, uint32(length))
	framed = binary.BigEndian.AppendUint32(framed, 0)
	framed = append(framed, byte(kind))
	framed = binary.BigEndian.AppendUint32(framed, durableSize)
	framed = append(framed, body...)
	framed = append(framed, next[:]...)
	binary.BigEndian.PutUint32(framed[8:], checksum(framed))
	buf.Write(framed)
	return next, nil
}

// checksum returns the CRC-32C of a frame's length and payload.
func checksum(framed []byte) uint32 {
	crc := crc32.Update(0, castagnoliTable, framed[4:8])
	return crc32.Update(crc, castagnoliTable, framed[framePrefixBytes:])
}

// frameError reports why the bytes at an offset are not a valid frame.
type frameError struct{ detail string }

func (e *frameError) Error() string { return "audit: no valid frame: " + e.detail }

// readFrame reads the frame at the start of r. At the end of the input it
// returns io.EOF; bytes that are not a valid frame give a *frameError.
func readFrame(r io.Reader) (frame, error) {
	var prefix [framePrefixBytes]byte
	switch n, err := io.ReadFull(r, prefix[:]); {
	case err == io.EOF && n == 0:
		return frame{}, io.EOF
	case err == io.ErrUnexpectedEOF:
		return frame{}, &frameError{"the frame's head is cut off"}
	case err != nil:
		return frame{}, err
	}
	if binary.BigEndian.Uint32(prefix[:]) != frameMagic {
		return frame{}, &frameError{"the frame's magic number is wrong"}
	}
	length := binary.BigEndian.Uint32(prefix[4:])
	if length < minPayloadBytes || length > maxPayloadBytes {
		return frame{}, &frameError{fmt.Sprintf("the length %d is out of bounds", length)}
	}
	buf := bytes.NewBuffer(append(make([]byte, 0, framePrefixBytes+min(int(length), 1<<20)), prefix[:]...))
	switch n, err := io.CopyN(buf, r, int64(length)); {
	case err == io.EOF:
		return frame{}, &frameError{fmt.Sprintf("the frame is cut off after %d of %d bytes", n, length)}
	case err != nil:
		return frame{}, err
	}
	encoded := buf.Bytes()
	if checksum(encoded) != binary.BigEndian.Uint32(prefix[8:]) {
		return frame{}, &frameError{"the checksum is wrong"}
	}
	return parseFrame(encoded), nil
}

// parseFrame splits a frame whose length and checksum are valid into its
// fields.
func parseFrame(encoded []byte) frame {
	payload := encoded[framePrefixBytes:]
	f := frame{
		kind:        frameKind(payload[0]),
		durableSize: binary.BigEndian.Uint32(payload[1:]),
		body:        payload[payloadPrefixBytes : len(payload)-hashBytes],
		size:        int64(len(encoded)),
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
	return &b, b.unpack()
}

// verify compares the frame's hash with the chain and returns the frame's
// batch, if it has one.
func (f *frame) verify(prev hash) (*encodedBatch, error) {
	var batch *encodedBatch
	if f.kind == frameBatch {
		b, err := f.batch()
		if err != nil {
			return nil, err
		}
		batch = b
	}
	if chainHashAfter(prev, f.kind, f.durableSize, f.body, batch) != f.hash {
		return nil, &frameError{"the hash chain does not continue here"}
	}
	return batch, nil
}
