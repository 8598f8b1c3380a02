package keys

import (
	"fmt"
	"os"
	"path/filepath"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/transport"
)

// Rotate begins a rotation: it makes the next CA and lets every VM trust it
// beside the present one, which goes on issuing. Copy the VM folders to their
// VMs before Renew.
func Rotate(dir string) error {
	cas, err := openCAs(dir)
	if err != nil {
		return err
	}
	if cas.next != nil {
		return fmt.Errorf("keys: a rotation is under way in %s; go on with renew and retire", dir)
	}
	cas.next, err = newAuthority()
	if err != nil {
		return fmt.Errorf("keys: make CA: %w", err)
	}
	if err := writeAuthority(filepath.Join(dir, nextCAFile), cas.next); err != nil {
		return err
	}
	return cas.rewriteTrust()
}

// Renew issues every VM's certificate again: from the next CA during a
// rotation, else from the present one. Copy the VM folders to their VMs after
// it. It may be repeated.
func Renew(dir string) error {
	cas, err := openCAs(dir)
	if err != nil {
		return err
	}
	if cas.next != nil {
		// Trust stays with both; only the issuer changes.
		cas.current, cas.next = cas.next, cas.current
	}
	dirs, err := cas.vms()
	if err != nil {
		return err
	}
	for _, d := range dirs {
		id, err := readIdentity(filepath.Join(d, identityFile))
		if err != nil {
			return err
		}
		subject := id.cert.Subject
		p := transport.Peer{VM: ids.VMID(subject.CommonName), Role: subject.OrganizationalUnit[0]}
		if _, err := cas.issue(p, id.cert.IPAddresses); err != nil {
			return err
		}
	}
	return nil
}

// Retire ends a rotation: the next CA becomes the only one. It refuses while a
// VM still has a certificate of the old CA. Copy the VM folders to their VMs
// after it.
func Retire(dir string) error {
	cas, err := openCAs(dir)
	if err != nil {
		return err
	}
	if cas.next == nil {
		return fmt.Errorf("keys: no rotation is under way in %s; begin one with rotate", dir)
	}
	dirs, err := cas.vms()
	if err != nil {
		return err
	}
	for _, d := range dirs {
		id, err := readIdentity(filepath.Join(d, identityFile))
		if err != nil {
			return err
		}
		if err := id.cert.CheckSignatureFrom(cas.next.cert); err != nil {
			return fmt.Errorf("keys: VM %s has no certificate of the next CA; renew first and copy its folder to it", id.cert.Subject.CommonName)
		}
	}
	// The rename is the commit; a crash after it is completed by rewriting the
	// trust files with Renew.
	if err := os.Rename(filepath.Join(dir, nextCAFile), filepath.Join(dir, caFile)); err != nil {
		return fmt.Errorf("keys: replace CA: %w", err)
	}
	if err := syncDir(dir); err != nil {
		return fmt.Errorf("keys: sync folder: %w", err)
	}
	cas.current, cas.next = cas.next, nil
	return cas.rewriteTrust()
}

func (f *caFolder) rewriteTrust() error {
	dirs, err := f.vms()
	if err != nil {
		return err
	}
	for _, d := range dirs {
		if err := f.writeTrust(d); err != nil {
			return err
		}
	}
	return nil
}
