package wal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// A frame is what one Save writes:
//
//	magic u32 | length u32 | synced u64 | crc u32 | payload
//
// synced is the length of the file that was known to be durable when the frame
// was written. A frame that cannot be read is a torn tail as long as no later
// frame says that it was durable.
const (
	frameMagic      = 0x644b_4c31 // "dKL1"
	frameHeadBytes  = 20
	maxPayloadBytes = 1 << 30
)

var errBadFrame = errors.New("not a valid frame")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame is one decoded frame. Payload points into the decoded buffer.
type frame struct {
	synced  uint64
	payload []byte
}

func (f *frame) size() int { return frameHeadBytes + len(f.payload) }

// appendFrame adds a frame with the given payload to buf.
func appendFrame(buf []byte, synced uint64, payload []byte) []byte {
	var head [frameHeadBytes]byte
	binary.LittleEndian.PutUint32(head[0:], frameMagic)
	binary.LittleEndian.PutUint32(head[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(head[8:], synced)
	binary.LittleEndian.PutUint32(head[16:], frameChecksum(head[:16], payload))
	buf = append(buf, head[:]...)
	return append(buf, payload...)
}

func frameChecksum(head, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(head, castagnoli), castagnoli, payload)
}

// decodeFrame reads the frame at the start of b.
func decodeFrame(b []byte) (frame, error) {
	if len(b) < frameHeadBytes || binary.LittleEndian.Uint32(b) != frameMagic {
		return frame{}, errBadFrame
	}
	length := binary.LittleEndian.Uint32(b[4:])
	if length > maxPayloadBytes || int(length) > len(b)-frameHeadBytes {
		return frame{}, errBadFrame
	}
	payload := b[frameHeadBytes : frameHeadBytes+int(length)]
	if frameChecksum(b[:16], payload) != binary.LittleEndian.Uint32(b[16:]) {
		return frame{}, errBadFrame
	}
	return frame{synced: binary.LittleEndian.Uint64(b[8:]), payload: payload}, nil
}

// durableAfter says whether a valid frame after offset shows that the bytes at
// offset were durable.
func durableAfter(b []byte, offset int) bool {
	for i := offset + 1; i+frameHeadBytes <= len(b); i++ {
		if binary.LittleEndian.Uint32(b[i:]) != frameMagic {
			continue
		}
		if f, err := decodeFrame(b[i:]); err == nil && f.synced > uint64(offset) {
			return true
		}
	}
	return false
}
