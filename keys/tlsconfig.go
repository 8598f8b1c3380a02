package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"

	"damaskbridge.example/damaskbridge/transport"
)

// tlsPair holds the configurations of one identity and one set of CAs.
type tlsPair struct {
	server, client *tls.Config
}

func newTLSPair(id *identity, trusted []*x509.Certificate) *tlsPair {
	pool := x509.NewCertPool()
	for _, c := range trusted {
		pool.AddCert(c)
	}
	cert := tls.Certificate{Certificate: [][]byte{id.cert.Raw}, PrivateKey: id.key, Leaf: id.cert}
	return &tlsPair{
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

// verifyClient accepts the roles that exist.
func verifyClient(state tls.ConnectionState) error {
	p, err := transport.PeerOf(state)
	if err != nil {
		return err
	}
	if !isRole(p.Role) {
		return fmt.Errorf("keys: VM %s has the role %q, which does not exist; issue its certificate again", p.VM, p.Role)
	}
	return nil
}

// verifyServer accepts control VMs only, so that the certificate of an entry
// VM or an operator cannot stand in for one.
func verifyServer(state tls.ConnectionState) error {
	p, err := transport.PeerOf(state)
	if err != nil {
		return err
	}
	if p.Role != transport.RoleControl {
		return fmt.Errorf("keys: the server is VM %s with role %q and not a control VM; correct the address", p.VM, p.Role)
	}
	return nil
}
