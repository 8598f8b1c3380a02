package keys

import (
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/transport"
)

const (
	caFile       = "ca.pem"
	nextCAFile   = "next-ca.pem"
	vmsFolder    = "vms"
	identityFile = "identity.pem"
	trustFile    = "trust.pem"
)

// InitCA makes a CA in dir. It refuses a folder that has one.
func InitCA(dir string) error {
	path := filepath.Join(dir, caFile)
	if _, err := os.Stat(path); err == nil {
		return fmt.Errorf("keys: %s exists; use another folder, or rotate the CA", path)
	}
	if err := os.MkdirAll(filepath.Join(dir, vmsFolder), dirMode); err != nil {
		return fmt.Errorf("keys: create folder: %w", err)
	}
	ca, err := newAuthority()
	if err != nil {
		return fmt.Errorf("keys: make CA: %w", err)
	}
	return writeAuthority(path, ca)
}

// VMDir is the folder in CA folder dir that belongs to a VM.
func VMDir(dir string, vm ids.VMID) string {
	return filepath.Join(dir, vmsFolder, string(vm))
}

// Issue makes a certificate for a VM with its role and IP addresses and writes
// the VM's folder, whose path it returns.
func Issue(dir string, vm ids.VMID, role string, addresses []string) (string, error) {
	ips, err := parseIPs(addresses)
	if err != nil {
		return "", err
	}
	cas, err := openCAs(dir)
	if err != nil {
		return "", err
	}
	return cas.issue(transport.Peer{VM: vm, Role: role}, ips)
}

// caFolder is an opened CA folder. next is nil unless a rotation is under way.
type caFolder struct {
	dir           string
	current, next *authority
}

func openCAs(dir string) (*caFolder, error) {
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
	return &caFolder{dir: dir, current: current, next: next}, nil
}

func (f *caFolder) trusted() []*x509.Certificate {
	certs := []*x509.Certificate{f.current.cert}
	if f.next != nil {
		certs = append(certs, f.next.cert)
	}
	return certs
}

func (f *caFolder) issue(p transport.Peer, ips []net.IP) (string, error) {
	id, err := f.current.issue(p, ips)
	if err != nil {
		return "", err
	}
	vmDir := VMDir(f.dir, p.VM)
	if err := os.MkdirAll(vmDir, dirMode); err != nil {
		return "", fmt.Errorf("keys: create folder: %w", err)
	}
	if err := f.writeTrust(vmDir); err != nil {
		return "", err
	}
	return vmDir, writeIdentity(filepath.Join(vmDir, identityFile), id)
}

func (f *caFolder) writeTrust(vmDir string) error {
	if err := writeFile(filepath.Join(vmDir, trustFile), encodeCerts(f.trusted())); err != nil {
		return fmt.Errorf("keys: write trust: %w", err)
	}
	return nil
}

// vms lists the folders of the VMs.
func (f *caFolder) vms() ([]string, error) {
	entries, err := os.ReadDir(filepath.Join(f.dir, vmsFolder))
	if err != nil {
		return nil, fmt.Errorf("keys: list VMs: %w", err)
	}
	var dirs []string
	for _, e := range entries {
		if e.IsDir() {
			dirs = append(dirs, filepath.Join(f.dir, vmsFolder, e.Name()))
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
	if err := writeFile(path, b); err != nil {
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
