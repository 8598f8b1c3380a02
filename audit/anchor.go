package audit

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

const anchorName = "anchor"

// anchor keeps the chain verifiable after old segments were deleted: it names
// the first segment that is kept and the chain hash before it.
type anchor struct {
	First uint64 `cbor:"1,keyasint"`
	Prev  hash   `cbor:"2,keyasint"`
}

// newChain is the anchor of a store that has deleted nothing.
var newChain = anchor{First: 1}

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
	if _, err := f.check(a.Prev); err != nil {
		return anchor{}, err
	}
	return a, nil
}

// writeAnchor replaces the anchor file as a whole.
func writeAnchor(dir string, a anchor) error {
	b, err := encodeAnchor(a)
	if err != nil {
		return err
	}
	path := filepath.Join(dir, anchorName)
	if err := writeSynced(path+".new", b); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	return syncDir(dir)
}

func writeSynced(path string, b []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// readAnchor gives the anchor of dir; without a file, that of a new chain.
func readAnchor(dir string) (anchor, error) {
	path := filepath.Join(dir, anchorName)
	b, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return newChain, nil
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
