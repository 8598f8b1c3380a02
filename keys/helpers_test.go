package keys

import (
	"crypto/tls"
	"crypto/x509"

	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/ids"
)

func idOf(vm string) ids.VMID { return ids.VMID(vm) }

func mustDecode(b []byte) *identity {
	id, err := decodeIdentity(b)
	Expect(err).NotTo(HaveOccurred())
	return id
}

func stateOf(id *identity) tls.ConnectionState {
	return tls.ConnectionState{PeerCertificates: []*x509.Certificate{id.cert}}
}

// careless is a client that presents b's certificate although the server names
// other CAs, and trusts what other trusts.
func careless(b, other *Bundle) static {
	pair := newTLSPair(mustDecode(b.identity), nil)
	cert := pair.client.Certificates[0]
	pair.client.RootCAs = other.pair.client.RootCAs
	pair.client.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &cert, nil
	}
	return static{pair}
}
