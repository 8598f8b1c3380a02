package keys

import (
	"fmt"
	"os"
	"path/filepath"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/internal/atomicfile"
	"damaskbridge.example/damaskbridge/transport"
)

// Rotate starts a rotation: it creates the next CA and makes every VM trust it in
// addition to the current one, which still issues certificates. The VM folders
// must be copied to their VMs before Renew.
func Rotate(dir string) error {
	ca, err := openCADir(dir)
	if err != nil {
		return err
	}
	if ca.next != nil {
		return fmt.Errorf("keys: a rotation is already under way in %s; continue with renew and retire", dir)
	}
	ca.next, err = newAuthority()
	if err != nil {
		return fmt.Errorf("keys: create CA: %w", err)
	}
	if err := writeAuthority(filepath.Join(dir, nextCAFile), ca.next); err != nil {
		return err
	}
	return ca.rewriteTrustFiles()
}

// Renew reissues every VM's certificate, during a rotation from the next CA and
// otherwise from the current one. The VM folders must be copied to their VMs
// afterwards. It may be repeated.
func Renew(dir string) error {
	ca, err := openCADir(dir)
	if err != nil {
		return err
	}
	if ca.next != nil {
		// VMs still trust both CAs; only the issuer changes.
		ca.current, ca.next = ca.next, ca.current
	}
	dirs, err := ca.vmDirs()
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
		if _, err := ca.issue(p, id.cert.IPAddresses); err != nil {
			return err
		}
	}
	return nil
}

// Retire ends a rotation: the next CA becomes the only one. It returns an error
// while a VM's certificate is still from the old CA. The VM folders must be copied
// to their VMs afterwards.
func Retire(dir string) error {
	ca, err := openCADir(dir)
	if err != nil {
		return err
	}
	if ca.next == nil {
		return fmt.Errorf("keys: no rotation is under way in %s; start one with rotate", dir)
	}
	dirs, err := ca.vmDirs()
	if err != nil {
		return err
	}
	for _, d := range dirs {
		id, err := readIdentity(filepath.Join(d, identityFile))
		if err != nil {
			return err
		}
		if err := id.cert.CheckSignatureFrom(ca.next.cert); err != nil {
			return fmt.Errorf("keys: VM %s has no certificate of the next CA; renew first and copy its folder to it", id.cert.Subject.CommonName)
		}
	}
	// The rename commits the step. If the process crashes after it, Renew
	// completes the step by rewriting the trust files.
	if err := os.Rename(filepath.Join(dir, nextCAFile), filepath.Join(dir, caFile)); err != nil {
		return fmt.Errorf("keys: replace CA: %w", err)
	}
	if err := atomicfile.SyncDir(dir); err != nil {
		return fmt.Errorf("keys: sync folder: %w", err)
	}
	ca.current, ca.next = ca.next, nil
	return ca.rewriteTrustFiles()
}

func (c *caDir) rewriteTrustFiles() error {
	dirs, err := c.vmDirs()
	if err != nil {
		return err
	}
	for _, d := range dirs {
		if err := c.writeTrustFile(d); err != nil {
			return err
		}
	}
	return nil
}
