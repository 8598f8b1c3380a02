package audit

import "fmt"

// recordSeq returns the sequence number of an encoded record. It is the first
// field that encodeRecord writes, so an index is built without decoding the
// rest; any other valid encoding is decoded completely.
func recordSeq(raw []byte) (uint64, error) {
	if len(raw) > 2 && raw[0]&0xe0 == mapMajor && raw[0]&infoMask <= maxInlineInfo && raw[1] == seqKey {
		if seq, ok := leadingUint(raw[2:]); ok {
			return seq, nil
		}
	}
	var s storedRecord
	if err := decMode.Unmarshal(raw, &s); err != nil {
		return 0, fmt.Errorf("audit: decode record: %w", err)
	}
	return s.Seq, nil
}

// Constants of the CBOR encoding (RFC 8949, section 3).
const (
	mapMajor      = 0xa0 // a map; the low bits hold the number of pairs
	infoMask      = 0x1f
	maxInlineInfo = 23
	seqKey        = 0x01
)

// leadingUint decodes the CBOR unsigned integer at the start of b.
func leadingUint(b []byte) (uint64, bool) {
	if len(b) == 0 {
		return 0, false
	}
	if b[0] <= maxInlineInfo {
		return uint64(b[0]), true
	}
	// The values 24 to 27 mean that 1, 2, 4 or 8 bytes follow.
	if b[0] > maxInlineInfo+4 {
		return 0, false
	}
	size := 1 << (b[0] - maxInlineInfo - 1)
	if len(b) < 1+size {
		return 0, false
	}
	v := uint64(0)
	for _, c := range b[1 : 1+size] {
		v = v<<8 | uint64(c)
	}
	return v, true
}
