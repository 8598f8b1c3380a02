package admin

import (
	"crypto/tls"
	"fmt"

	"damaskbridge.example/damaskbridge/transport"
)

// TLSConfig returns the configuration of an HTTPS listener for the API. A client
// needs an operator certificate of the system's CA besides its token, so that a
// leaked token alone is of no use. Rotated certificates apply to new
// connections.
func TLSConfig(creds transport.Credentials) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			base, err := creds.ServerTLS()
			if err != nil {
				return nil, err
			}
			c := base.Clone()
			c.NextProtos = []string{"http/1.1"}
			c.ClientAuth = tls.RequireAndVerifyClientCert
			// A resumed session would not be verified against the current CAs.
			c.SessionTicketsDisabled = true
			c.VerifyConnection = verifyOperator
			return c, nil
		},
	}
}

// verifyOperator accepts only certificates with the role of an operator.
func verifyOperator(state tls.ConnectionState) error {
	p, err := transport.PeerOf(state)
	if err != nil {
		return err
	}
	if p.Role != transport.RoleOperator {
		return fmt.Errorf("admin: the certificate of %s has the role %q instead of %q; use an operator's certificate", p.VM, p.Role, transport.RoleOperator)
	}
	return nil
}
