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
