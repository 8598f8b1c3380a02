package keys

import (
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/internal/atomicfile"
	"damaskbridge.example/damaskbridge/transport"
)

const (
	caFile       = "ca.pem"
	nextCAFile   = "next-ca.pem"
	vmsDir       = "vms"
	identityFile = "identity.pem"
	trustFile    = "trust.pem"
)

// InitCA creates a CA in dir. It returns an error if dir already has one.
func InitCA(dir string) error {
	path := filepath.Join(dir, caFile)
	if _, err := os.Stat(path); err == nil {
		return fmt.Errorf("keys: %s already exists; use another folder, or rotate the CA", path)
	}
	if err := os.MkdirAll(filepath.Join(dir, vmsDir), dirMode); err != nil {
		return fmt.Errorf("keys: create folder: %w", err)
	}
	ca, err := newAuthority()
	if err != nil {
		return fmt.Errorf("keys: create CA: %w", err)
	}
	return writeAuthority(path, ca)
}

// VMDir returns the path of a VM's folder in the CA folder dir.
func VMDir(dir string, vm ids.VMID) string {
	return filepath.Join(dir, vmsDir, string(vm))
}

// Issue creates a certificate for a VM with the given role and IP addresses. It
// writes the VM's folder in the CA folder dir and returns its path.
func Issue(dir string, vm ids.VMID, role string, addresses []string) (string, error) {
	ips, err := parseIPs(addresses)
	if err != nil {
		return "", err
	}
	ca, err := openCADir(dir)
	if err != nil {
		return "", err
	}
	return ca.issue(transport.Peer{VM: vm, Role: role}, ips)
}

// caDir is a CA folder with its CAs in memory. next is nil unless a rotation is in
// progress.
type caDir struct {
	path          string
	current, next *authority
}

func openCADir(dir string) (*caDir, error) {
	current, err := readAuthority(filepath.Join(dir, caFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("keys: %s has no CA; make one with damaskctl keys init", dir)
	}
	if err != nil {
		return nil, err
	}
	next, err := readAuthority(filepath.Join(dir, nextCAFile))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	return &caDir{path: dir, current: current, next: next}, nil
}

// trustedCerts returns the CA certificates that a VM trusts: both during a
// rotation.
func (c *caDir) trustedCerts() []*x509.Certificate {
	certs := []*x509.Certificate{c.current.cert}
	if c.next != nil {
		certs = append(certs, c.next.cert)
	}
	return certs
}

// issue creates a certificate from the current CA, writes the VM's folder and
// returns its path.
func (c *caDir) issue(p transport.Peer, ips []net.IP) (string, error) {
	id, err := c.current.issue(p, ips)
	if err != nil {
		return "", err
	}
	vmDir := VMDir(c.path, p.VM)
	if err := os.MkdirAll(vmDir, dirMode); err != nil {
		return "", fmt.Errorf("keys: create folder: %w", err)
	}
	if err := c.writeTrustFile(vmDir); err != nil {
		return "", err
	}
	return vmDir, writeIdentity(filepath.Join(vmDir, identityFile), id)
}

func (c *caDir) writeTrustFile(vmDir string) error {
	if err := atomicfile.Write(filepath.Join(vmDir, trustFile), encodeCerts(c.trustedCerts()), fileMode); err != nil {
		return fmt.Errorf("keys: write trust file: %w", err)
	}
	return nil
}

// vmDirs returns the paths of all VM folders.
func (c *caDir) vmDirs() ([]string, error) {
	entries, err := os.ReadDir(filepath.Join(c.path, vmsDir))
	if err != nil {
		return nil, fmt.Errorf("keys: list VMs: %w", err)
	}
	var dirs []string
	for _, e := range entries {
		if e.IsDir() {
			dirs = append(dirs, filepath.Join(c.path, vmsDir, e.Name()))
		}
	}
	return dirs, nil
}

func writeAuthority(path string, ca *authority) error {
	return writeIdentity(path, &identity{cert: ca.cert, key: ca.key})
}

func writeIdentity(path string, id *identity) error {
	b, err := encodeIdentity(id.cert, id.key)
	if err != nil {
		return fmt.Errorf("keys: encode %s: %w", path, err)
	}
	if err := atomicfile.Write(path, b, fileMode); err != nil {
		return fmt.Errorf("keys: write %s: %w", path, err)
	}
	return nil
}

func readAuthority(path string) (*authority, error) {
	id, err := readIdentity(path)
	if err != nil {
		return nil, err
	}
	return &authority{cert: id.cert, key: id.key}, nil
}

func readIdentity(path string) (*identity, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	id, err := decodeIdentity(b)
	if err != nil {
		return nil, fmt.Errorf("keys: %s cannot be used: %w; issue it again", path, err)
	}
	return id, nil
}
