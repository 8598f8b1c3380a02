package main

import (
	"fmt"
	"strings"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/relay"
)

// relayFlags collects the relays of a repeated -relay flag. It implements
// flag.Value.
type relayFlags []relayFlag

// relayFlag is one relay. It forwards traffic of clients in region from, which
// arrives at the listen address, to the target address in region to.
type relayFlag struct {
	protocol, listen, target string
	from, to                 ids.Region
}

// String returns the number of relays.
func (f *relayFlags) String() string { return fmt.Sprintf("%d relays", len(*f)) }

// Set parses a relay of the form protocol,listen,target,from,to and adds it.
func (f *relayFlags) Set(text string) error {
	parts := strings.Split(text, ",")
	if len(parts) != 5 || (parts[0] != "tcp" && parts[0] != "udp") {
		return fmt.Errorf("relay %q does not have the form tcp|udp,listen,target,from,to", text)
	}
	*f = append(*f, relayFlag{parts[0], parts[1], parts[2], ids.Region(parts[3]), ids.Region(parts[4])})
	return nil
}

// start starts a listener on n for each relay.
func (f *relayFlags) start(n *relay.Network) error {
	for _, r := range *f {
		if r.protocol == "tcp" {
			if _, err := n.ListenTCP(r.listen, r.target, r.from, r.to); err != nil {
				return err
			}
			continue
		}
		if _, err := n.ListenUDP(r.listen, r.target, r.from, r.to); err != nil {
			return err
		}
	}
	return nil
}
