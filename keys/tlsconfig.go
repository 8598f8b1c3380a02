package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"

	"damaskbridge.example/damaskbridge/transport"
)

// tlsConfigs holds the configurations for one identity and one set of trusted CAs.
type tlsConfigs struct {
	server, client *tls.Config
}

func newTLSConfigs(id *identity, trusted []*x509.Certificate) *tlsConfigs {
	pool := x509.NewCertPool()
	for _, c := range trusted {
		pool.AddCert(c)
	}
	cert := tls.Certificate{Certificate: [][]byte{id.cert.Raw}, PrivateKey: id.key, Leaf: id.cert}
	return &tlsConfigs{
		server: &tls.Config{
			MinVersion:       tls.VersionTLS13,
			Certificates:     []tls.Certificate{cert},
			ClientAuth:       tls.RequireAndVerifyClientCert,
			ClientCAs:        pool,
			VerifyConnection: verifyClient,
		},
		client: &tls.Config{
			MinVersion:       tls.VersionTLS13,
			Certificates:     []tls.Certificate{cert},
			RootCAs:          pool,
			VerifyConnection: verifyServer,
		},
	}
}

// verifyClient accepts every known role.
func verifyClient(state tls.ConnectionState) error {
	p, err := transport.PeerOf(state)
	if err != nil {
		return err
	}
	if !isKnownRole(p.Role) {
		return fmt.Errorf("keys: VM %s has the unknown role %q; issue its certificate again", p.VM, p.Role)
	}
	return nil
}

// verifyServer accepts control VMs only, so that an entry VM or an operator cannot
// impersonate one with its own certificate.
func verifyServer(state tls.ConnectionState) error {
	p, err := transport.PeerOf(state)
	if err != nil {
		return err
	}
	if p.Role != transport.RoleControl {
		return fmt.Errorf("keys: the server is VM %s with role %q instead of a control VM; correct the address", p.VM, p.Role)
	}
	return nil
}
