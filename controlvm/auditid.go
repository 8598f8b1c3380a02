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
	"damaskbridge.example/damaskbridge/internal/atomicfile"
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
		raw, err = createStoreID(path)
	}
	if err != nil {
		return "", fmt.Errorf("controlvm: ID of the audit store: %w", err)
	}
	return vm + "." + ids.VMID(raw), nil
}

// createStoreID creates a random store ID and syncs it to disk.
func createStoreID(path string) ([]byte, error) {
	const idBytes = 8
	id := make([]byte, idBytes)
	// rand.Read never returns an error.
	_, _ = rand.Read(id)
	raw := []byte(hex.EncodeToString(id))
	return raw, atomicfile.Write(path, raw, 0o600)
}
