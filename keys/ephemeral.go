package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/transport"
)

// staticCredentials implements transport.Credentials with configurations that
// never change.
type staticCredentials struct{ configs *tlsConfigs }

var _ transport.Credentials = staticCredentials{}

func (s staticCredentials) ServerTLS() (*tls.Config, error) { return s.configs.server, nil }
func (s staticCredentials) ClientTLS() (*tls.Config, error) { return s.configs.client, nil }

// NewEphemeral creates an in-memory CA and returns credentials for each peer,
// valid for the loopback addresses. It is for tests and for a system that runs
// in one process.
func NewEphemeral(peers ...transport.Peer) (map[ids.VMID]transport.Credentials, error) {
	ca, err := newAuthority()
	if err != nil {
		return nil, fmt.Errorf("keys: create CA: %w", err)
	}
	all := make(map[ids.VMID]transport.Credentials, len(peers))
	for _, p := range peers {
		id, err := ca.issue(p, []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback})
		if err != nil {
			return nil, err
		}
		all[p.VM] = staticCredentials{newTLSConfigs(id, []*x509.Certificate{ca.cert})}
	}
	return all, nil
}
