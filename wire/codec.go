package wire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Encode encodes a message as CBOR.
func Encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("wire: encode %T: %w", v, err)
	}
	return b, nil
}

// Decode decodes a CBOR message into v, which must be a pointer.
func Decode(b []byte, v any) error {
	if err := cbor.Unmarshal(b, v); err != nil {
		return fmt.Errorf("wire: decode %T: %w", v, err)
	}
	return nil
}
