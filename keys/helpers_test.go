package keys

import (
	"crypto/tls"
	"crypto/x509"

	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/ids"
)

func vmID(vm string) ids.VMID { return ids.VMID(vm) }

func mustDecode(b []byte) *identity {
	id, err := decodeIdentity(b)
	Expect(err).NotTo(HaveOccurred())
	return id
}

func connectionState(id *identity) tls.ConnectionState {
	return tls.ConnectionState{PeerCertificates: []*x509.Certificate{id.cert}}
}

// forceClientCert returns credentials that trust the same CAs as other and present
// b's certificate even if the server does not list its CA as acceptable.
func forceClientCert(b, other *Bundle) staticCredentials {
	configs := newTLSConfigs(mustDecode(b.identityPEM), nil)
	cert := configs.client.Certificates[0]
	configs.client.RootCAs = other.configs.client.RootCAs
	configs.client.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &cert, nil
	}
	return staticCredentials{configs}
}
