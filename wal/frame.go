package wal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// A frame is the unit that one Save writes, in little-endian byte order:
//
//	magic u32 | length u32 | synced u64 | crc u32 | payload
//
// synced is the length of the file that was known to be durable when the frame
// was written. An invalid frame is a torn tail unless the synced field of a
// later frame shows that it was durable.
const (
	frameMagic       = 0x644b_4c31 // "dKL1"
	frameHeaderBytes = 20
	maxPayloadBytes  = 1 << 30
)

var errBadFrame = errors.New("invalid frame")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame is one decoded frame. payload aliases the decoded buffer.
type frame struct {
	synced  uint64
	payload []byte
}

func (f *frame) size() int { return frameHeaderBytes + len(f.payload) }

// appendFrame appends a frame with the given payload to buf.
func appendFrame(buf []byte, synced uint64, payload []byte) []byte {
	var header [frameHeaderBytes]byte
	binary.LittleEndian.PutUint32(header[0:], frameMagic)
	binary.LittleEndian.PutUint32(header[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(header[8:], synced)
	binary.LittleEndian.PutUint32(header[16:], frameChecksum(header[:16], payload))
	buf = append(buf, header[:]...)
	return append(buf, payload...)
}

func frameChecksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header, castagnoli), castagnoli, payload)
}

// decodeFrame decodes the frame at the start of b.
func decodeFrame(b []byte) (frame, error) {
	if len(b) < frameHeaderBytes || binary.LittleEndian.Uint32(b) != frameMagic {
		return frame{}, errBadFrame
	}
	length := binary.LittleEndian.Uint32(b[4:])
	if length > maxPayloadBytes || int(length) > len(b)-frameHeaderBytes {
		return frame{}, errBadFrame
	}
	payload := b[frameHeaderBytes : frameHeaderBytes+int(length)]
	if frameChecksum(b[:16], payload) != binary.LittleEndian.Uint32(b[16:]) {
		return frame{}, errBadFrame
	}
	return frame{synced: binary.LittleEndian.Uint64(b[8:]), payload: payload}, nil
}

// durableAfter reports whether a valid frame after offset shows that the bytes
// at offset were durable.
func durableAfter(b []byte, offset int) bool {
	for i := offset + 1; i+frameHeaderBytes <= len(b); i++ {
		if binary.LittleEndian.Uint32(b[i:]) != frameMagic {
			continue
		}
		if f, err := decodeFrame(b[i:]); err == nil && f.synced > uint64(offset) {
			return true
		}
	}
	return false
}
