package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"math/big"
	"net"
	"time"

	"damaskbridge.example/damaskbridge/transport"
)

const (
	organization = "damaskbridge"
	// caValidity is long because a CA is replaced by rotation.
	caValidity = 10 * 365 * 24 * time.Hour
	// certValidity leaves a month of margin for a yearly renewal.
	certValidity = 397 * 24 * time.Hour
	// maxClockSkew is the maximum clock difference between two VMs. Certificates
	// are valid this long before they are issued.
	maxClockSkew = time.Hour
	serialBits   = 127
)

// authority is a CA certificate with its private key.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// identity is a VM's certificate with its private key.
type identity struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newSerial() (*big.Int, error) {
	return rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
}

// newAuthority creates a self-signed CA.
func newAuthority() (*authority, error) {
	serial, err := newSerial()
	if err != nil {
		return nil, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: serial,
		// The serial number gives the two CAs of a rotation different names.
		Subject:               pkix.Name{Organization: []string{organization}, CommonName: fmt.Sprintf("damaskbridge CA %x", serial)},
		NotBefore:             now.Add(-maxClockSkew),
		NotAfter:              now.Add(caValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &authority{cert: cert, key: key}, err
}

// issue creates a certificate and key for a peer. Only a control VM's certificate
// is valid for a server, since the other roles accept no calls.
func (a *authority) issue(p transport.Peer, ips []net.IP) (*identity, error) {
	if err := validatePeer(p, ips); err != nil {
		return nil, err
	}
	serial, err := newSerial()
	if err != nil {
		return nil, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	usage := []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	if p.Role == transport.RoleControl {
		usage = append(usage, x509.ExtKeyUsageServerAuth)
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject: pkix.Name{
			Organization:       []string{organization},
			OrganizationalUnit: []string{p.Role},
			CommonName:         string(p.VM),
		},
		NotBefore:   now.Add(-maxClockSkew),
		NotAfter:    now.Add(certValidity),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: usage,
		IPAddresses: ips,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &identity{cert: cert, key: key}, err
}

func validatePeer(p transport.Peer, ips []net.IP) error {
	if !isValidVMName(string(p.VM)) {
		return fmt.Errorf("keys: %q is not a valid VM name; use letters, digits, '-', '_' and '.'", p.VM)
	}
	if !isKnownRole(p.Role) {
		return fmt.Errorf("keys: role %q does not exist; use %s, %s or %s", p.Role, transport.RoleEntry, transport.RoleControl, transport.RoleOperator)
	}
	if p.Role == transport.RoleControl && len(ips) == 0 {
		return fmt.Errorf("keys: control VM %s has no IP address; give the addresses that other VMs call", p.VM)
	}
	return nil
}

func isKnownRole(role string) bool {
	switch role {
	case transport.RoleEntry, transport.RoleControl, transport.RoleOperator:
		return true
	}
	return false
}

// isValidVMName reports whether a name is safe as the name of a folder.
func isValidVMName(name string) bool {
	if name == "" || name[0] == '.' {
		return false
	}
	for _, c := range name {
		isLetter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		isDigit := c >= '0' && c <= '9'
		if !isLetter && !isDigit && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}

// parseIPs parses IP addresses without ports.
func parseIPs(addresses []string) ([]net.IP, error) {
	ips := make([]net.IP, 0, len(addresses))
	for _, a := range addresses {
		ip := net.ParseIP(a)
		if ip == nil {
			return nil, fmt.Errorf("keys: %q is not an IP address; give it without a port", a)
		}
		ips = append(ips, ip)
	}
	return ips, nil
}
