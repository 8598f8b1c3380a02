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

// reloadInterval is how often the files are looked at while calls are made.
const reloadInterval = time.Second

// Bundle is the folder of one VM as transport.Credentials. It reads changed
// files again without a restart. Files that cannot be used leave the last good
// ones in effect; Err tells. It is safe for concurrent use.
type Bundle struct {
	dir      string
	interval time.Duration

	mu        sync.Mutex
	nextCheck time.Time
	identity  []byte
	trust     []byte
	peer      transport.Peer
	expires   time.Time
	pair      *tlsPair
	err       error
}

var _ transport.Credentials = (*Bundle)(nil)

// Open reads the folder of one VM, as Issue wrote it.
func Open(dir string) (*Bundle, error) {
	b := &Bundle{dir: dir, interval: reloadInterval}
	if err := b.load(); err != nil {
		return nil, err
	}
	return b, nil
}

// ServerTLS gives the present server configuration.
func (b *Bundle) ServerTLS() (*tls.Config, error) { return b.current().server, nil }

// ClientTLS gives the present client configuration, the same pointer until the
// files change.
func (b *Bundle) ClientTLS() (*tls.Config, error) { return b.current().client, nil }

// Peer is the identity that the certificate names.
func (b *Bundle) Peer() transport.Peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peer
}

// Expires is when the certificate ends.
func (b *Bundle) Expires() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.expires
}

// Err gives the reason why changed files are not in effect, else nil.
func (b *Bundle) Err() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// Reload looks at the files now.
func (b *Bundle) Reload() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = b.load()
	return b.err
}

func (b *Bundle) current() *tlsPair {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := time.Now(); now.After(b.nextCheck) {
		b.nextCheck = now.Add(b.interval)
		b.err = b.load()
	}
	return b.pair
}

// load reads both files and replaces the configurations if one has changed.
// The caller holds mu or is the only user.
func (b *Bundle) load() error {
	identityPath := filepath.Join(b.dir, identityFile)
	idBytes, err := readPrivate(identityPath)
	if err != nil {
		return err
	}
	trustPath := filepath.Join(b.dir, trustFile)
	trustBytes, err := os.ReadFile(trustPath)
	if err != nil {
		return fmt.Errorf("keys: read trust: %w; copy the VM's folder from the CA folder", err)
	}
	if bytes.Equal(idBytes, b.identity) && bytes.Equal(trustBytes, b.trust) {
		return nil
	}
	id, err := decodeIdentity(idBytes)
	if err != nil {
		return fmt.Errorf("keys: %s cannot be used: %w; issue it again", identityPath, err)
	}
	trusted, key, err := decodePEM(trustBytes)
	if err == nil && (len(trusted) == 0 || key != nil) {
		err = errors.New("CA certificates and nothing else are expected")
	}
	if err != nil {
		return fmt.Errorf("keys: %s cannot be used: %w; copy it from the CA folder", trustPath, err)
	}
	peer, err := transport.PeerOf(tls.ConnectionState{PeerCertificates: []*x509.Certificate{id.cert}})
	if err != nil {
		return fmt.Errorf("keys: %s: %w", identityPath, err)
	}
	b.identity, b.trust = idBytes, trustBytes
	b.peer, b.expires = peer, id.cert.NotAfter
	b.pair = newTLSPair(id, trusted)
	return nil
}

// readPrivate reads a file that only its owner may read.
func readPrivate(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("keys: read key: %w; copy the VM's folder from the CA folder", err)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("keys: %s can be read by others (mode %o); set it to 0600", path, info.Mode().Perm())
	}
	return os.ReadFile(path)
}
