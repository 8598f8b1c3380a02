package controlvm

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"damaskbridge.example/damaskbridge/ids"
)

// storeIDFile is the name of the file with the ID of an audit store, in the
// store's folder.
const storeIDFile = "store-id"

// auditSourceName returns the name under which another control VM keeps the copy
// of this VM's audit log. The name contains the store's ID: a VM that has lost
// its disk starts a new store, and under the old name its records would be
// rejected as corruption of the old copy, which has to remain searchable.
func auditSourceName(vm ids.VMID, dir string) (ids.VMID, error) {
	path := filepath.Join(dir, storeIDFile)
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		raw, err = createStoreID(dir, path)
	}
	if err != nil {
		return "", fmt.Errorf("controlvm: ID of the audit store: %w", err)
	}
	return vm + "." + ids.VMID(raw), nil
}

// createStoreID creates a random store ID and syncs it to disk.
func createStoreID(dir, path string) ([]byte, error) {
	const idBytes = 8
	id := make([]byte, idBytes)
	// rand.Read never returns an error.
	_, _ = rand.Read(id)
	raw := []byte(hex.EncodeToString(id))
	temporary := path + ".new"
	f, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	_, err = f.Write(raw)
	err = errors.Join(err, f.Sync(), f.Close())
	if err != nil {
		return nil, err
	}
	if err := os.Rename(temporary, path); err != nil {
		return nil, err
	}
	dirFile, err := os.Open(dir)
	if err != nil {
		return nil, err
	}
	defer func() { _ = dirFile.Close() }()
	return raw, dirFile.Sync()
}
