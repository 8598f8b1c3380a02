package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/transport"
)

// static is a transport.Credentials that never changes.
type static struct{ pair *tlsPair }

var _ transport.Credentials = static{}

func (s static) ServerTLS() (*tls.Config, error) { return s.pair.server, nil }
func (s static) ClientTLS() (*tls.Config, error) { return s.pair.client, nil }

// Ephemeral makes a CA in memory and credentials of each peer for the loopback
// addresses, for tests and for a system within one process.
func Ephemeral(peers ...transport.Peer) (map[ids.VMID]transport.Credentials, error) {
	ca, err := newAuthority()
	if err != nil {
		return nil, fmt.Errorf("keys: make CA: %w", err)
	}
	all := make(map[ids.VMID]transport.Credentials, len(peers))
	for _, p := range peers {
		id, err := ca.issue(p, []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback})
		if err != nil {
			return nil, err
		}
		all[p.VM] = static{newTLSPair(id, []*x509.Certificate{ca.cert})}
	}
	return all, nil
}
