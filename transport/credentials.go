package transport

import (
	"crypto/tls"
	"errors"
	"fmt"

	"damaskbridge.example/damaskbridge/ids"
)

// protocolName is the ALPN protocol of the calls. It changes with the message
// encoding, so that incompatible processes fail in the TLS handshake.
const protocolName = "damaskbridge/1"

// Roles that a certificate may contain.
const (
	RoleEntry    = "entry"
	RoleControl  = "control"
	RoleOperator = "operator"
)

// Credentials provides the current TLS configurations. Both methods are called
// often and concurrently. A client uses a connection for new calls as long as
// ClientTLS returns the pointer that the connection was opened with, so an
// implementation must return the same pointer until its certificates change.
// Neither side modifies a returned configuration.
type Credentials interface {
	ServerTLS() (*tls.Config, error)
	ClientTLS() (*tls.Config, error)
}

var errNoCertificate = errors.New("the peer presented no certificate; issue one with damaskctl keys")

// PeerOf returns the peer's identity from its verified certificate: the common
// name is the VM, the organizational unit is the role.
func PeerOf(state tls.ConnectionState) (Peer, error) {
	if len(state.PeerCertificates) == 0 {
		return Peer{}, errNoCertificate
	}
	subject := state.PeerCertificates[0].Subject
	if subject.CommonName == "" || len(subject.OrganizationalUnit) != 1 {
		return Peer{}, fmt.Errorf("the certificate %q names no VM and role; issue it again with damaskctl keys", subject)
	}
	return Peer{VM: ids.VMID(subject.CommonName), Role: subject.OrganizationalUnit[0]}, nil
}

// clientConfig returns the TLS configuration for one connection to host.
func clientConfig(base *tls.Config, host string) *tls.Config {
	c := base.Clone()
	c.ServerName = host
	c.NextProtos = []string{protocolName}
	c.MinVersion = tls.VersionTLS13
	return c
}

// serverConfig returns a TLS configuration that asks creds at each handshake, so
// that new connections use rotated certificates.
func serverConfig(creds Credentials) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolName},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			base, err := creds.ServerTLS()
			if err != nil {
				return nil, err
			}
			c := base.Clone()
			c.NextProtos = []string{protocolName}
			c.MinVersion = tls.VersionTLS13
			c.ClientAuth = tls.RequireAndVerifyClientCert
			// A resumed session would bypass verification against the current CAs.
			c.SessionTicketsDisabled = true
			return c, nil
		},
	}
}
