package keys

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/transport"
)

// defaultCheckInterval is the minimum time between two checks for changed
// files. The files are checked when a configuration is requested.
const defaultCheckInterval = time.Second

// Bundle implements transport.Credentials with the files in a VM's folder. It
// reloads changed files without a restart. If the changed files are unusable, the
// last usable ones stay in effect and Err returns the reason. It is safe for
// concurrent use.
type Bundle struct {
	dir           string
	checkInterval time.Duration

	mu          sync.Mutex
	nextCheck   time.Time
	identityPEM []byte
	trustPEM    []byte
	peer        transport.Peer
	expires     time.Time
	configs     *tlsConfigs
	err         error
}

var _ transport.Credentials = (*Bundle)(nil)

// Open loads the folder of a VM that Issue has written.
func Open(dir string) (*Bundle, error) {
	b := &Bundle{dir: dir, checkInterval: defaultCheckInterval}
	if err := b.load(); err != nil {
		return nil, err
	}
	return b, nil
}

// ServerTLS returns the current server configuration.
func (b *Bundle) ServerTLS() (*tls.Config, error) { return b.currentConfigs().server, nil }

// ClientTLS returns the current client configuration. The pointer stays the same
// until the files change.
func (b *Bundle) ClientTLS() (*tls.Config, error) { return b.currentConfigs().client, nil }

// Peer returns the VM and role that the certificate names.
func (b *Bundle) Peer() transport.Peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peer
}

// Expires returns the time at which the certificate expires.
func (b *Bundle) Expires() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.expires
}

// Err returns the reason why the files in the folder are not in effect, or nil if
// they are.
func (b *Bundle) Err() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// Reload checks the files for changes at once and loads them if needed.
func (b *Bundle) Reload() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = b.load()
	return b.err
}

// currentConfigs returns the configurations in effect, after a reload if the last
// check of the files is longer than checkInterval ago.
func (b *Bundle) currentConfigs() *tlsConfigs {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := time.Now(); now.After(b.nextCheck) {
		b.nextCheck = now.Add(b.checkInterval)
		b.err = b.load()
	}
	return b.configs
}

// load reads both files and replaces the configurations if one has changed.
// The caller holds mu or has exclusive access.
func (b *Bundle) load() error {
	identityPath := filepath.Join(b.dir, identityFile)
	idBytes, err := readPrivateFile(identityPath)
	if err != nil {
		return err
	}
	trustPath := filepath.Join(b.dir, trustFile)
	trustBytes, err := os.ReadFile(trustPath)
	if err != nil {
		return fmt.Errorf("keys: read trusted CA certificates: %w; copy the VM's folder from the CA folder", err)
	}
	if bytes.Equal(idBytes, b.identityPEM) && bytes.Equal(trustBytes, b.trustPEM) {
		return nil
	}
	id, err := decodeIdentity(idBytes)
	if err != nil {
		return fmt.Errorf("keys: %s cannot be used: %w; issue it again", identityPath, err)
	}
	trusted, key, err := decodePEM(trustBytes)
	if err == nil && (len(trusted) == 0 || key != nil) {
		err = errors.New("it must contain CA certificates and nothing else")
	}
	if err != nil {
		return fmt.Errorf("keys: %s cannot be used: %w; copy it from the CA folder", trustPath, err)
	}
	peer, err := transport.PeerOf(tls.ConnectionState{PeerCertificates: []*x509.Certificate{id.cert}})
	if err != nil {
		return fmt.Errorf("keys: %s: %w", identityPath, err)
	}
	b.identityPEM, b.trustPEM = idBytes, trustBytes
	b.peer, b.expires = peer, id.cert.NotAfter
	b.configs = newTLSConfigs(id, trusted)
	return nil
}

// readPrivateFile reads a file and returns an error if anyone but its owner may
// access it.
func readPrivateFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("keys: read key: %w; copy the VM's folder from the CA folder", err)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("keys: %s is accessible to other users (mode %o); set it to 0600", path, info.Mode().Perm())
	}
	return os.ReadFile(path)
}
