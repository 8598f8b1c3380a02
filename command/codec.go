package command

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"damaskbridge.example/damaskbridge/internal/cbormode"
)

// Encode returns the command as deterministic CBOR.
func Encode(c *Command) ([]byte, error) {
	b, err := cbormode.Deterministic.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("command: encode: %w", err)
	}
	return b, nil
}

// Decode returns the command that Encode encoded.
func Decode(b []byte) (*Command, error) {
	var c Command
	if err := cbor.Unmarshal(b, &c); err != nil {
		return nil, fmt.Errorf("command: decode: %w", err)
	}
	return &c, nil
}
