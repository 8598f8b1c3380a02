package audit

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"damaskbridge.example/damaskbridge/internal/atomicfile"
)

const anchorName = "anchor"

// anchor names the first retained segment and the chain hash before it, so that
// the chain stays verifiable after older segments were deleted.
type anchor struct {
	First uint64 `cbor:"1,keyasint"`
	Prev  hash   `cbor:"2,keyasint"`
}

// initialAnchor is the anchor of a store that has not deleted any segment.
var initialAnchor = anchor{First: 1}

func encodeAnchor(a anchor) ([]byte, error) {
	var buf bytes.Buffer
	_, err := appendFrame(&buf, a.Prev, frameHeader, 0, a)
	return buf.Bytes(), err
}

func decodeAnchor(b []byte) (anchor, error) {
	f, err := readFrame(bytes.NewReader(b))
	if err != nil {
		return anchor{}, err
	}
	var a anchor
	if err := decMode.Unmarshal(f.body, &a); err != nil {
		return anchor{}, err
	}
	if _, err := f.verify(a.Prev); err != nil {
		return anchor{}, err
	}
	return a, nil
}

// writeAnchor replaces the anchor file atomically and makes it durable.
func writeAnchor(dir string, a anchor) error {
	b, err := encodeAnchor(a)
	if err != nil {
		return err
	}
	return atomicfile.Write(filepath.Join(dir, anchorName), b, fileMode)
}

// readAnchor returns the anchor of dir, or initialAnchor if there is no anchor
// file.
func readAnchor(dir string) (anchor, error) {
	path := filepath.Join(dir, anchorName)
	b, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return initialAnchor, nil
	}
	if err != nil {
		return anchor{}, err
	}
	a, err := decodeAnchor(b)
	if err != nil {
		return anchor{}, &CorruptError{Path: path, Detail: fmt.Sprintf("the anchor cannot be read: %v", err)}
	}
	return a, nil
}
