package admin

import (
	"crypto/tls"
	"fmt"

	"damaskbridge.example/damaskbridge/transport"
)

// TLSConfig gives the configuration of an HTTPS listener for the API. Callers
// need an operator's certificate from the system's CA besides their token, so
// that a token that leaks is of no use alone. Rotated certificates hold for
// new connections.
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
			// A resumed session would skip the check against the current CAs.
			c.SessionTicketsDisabled = true
			c.VerifyConnection = verifyOperator
			return c, nil
		},
	}
}

func verifyOperator(state tls.ConnectionState) error {
	p, err := transport.PeerOf(state)
	if err != nil {
		return err
	}
	if p.Role != transport.RoleOperator {
		return fmt.Errorf("admin: %s has the role %q and not %q; use an operator's certificate", p.VM, p.Role, transport.RoleOperator)
	}
	return nil
}
