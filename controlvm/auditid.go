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

// storeIDFile holds the identity of an audit store, in the store's folder.
const storeIDFile = "store-id"

// auditSource gives the name under which another control VM keeps the copy of
// this VM's audit log. It holds the store's own identity: a VM that has lost
// its disk starts a new store, and under the same name its records would be
// refused as damage of the old copy, which must stay to be searched.
func auditSource(vm ids.VMID, dir string) (ids.VMID, error) {
	path := filepath.Join(dir, storeIDFile)
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		raw, err = createStoreID(dir, path)
	}
	if err != nil {
		return "", fmt.Errorf("controlvm: identity of the audit store: %w", err)
	}
	return vm + "." + ids.VMID(raw), nil
}

// createStoreID writes a new identity durably.
func createStoreID(dir, path string) ([]byte, error) {
	const idBytes = 8
	id := make([]byte, idBytes)
	// Read never fails; see crypto/rand.
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
	folder, err := os.Open(dir)
	if err != nil {
		return nil, err
	}
	defer func() { _ = folder.Close() }()
	return raw, folder.Sync()
}
