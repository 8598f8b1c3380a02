package control

import "damaskbridge.example/damaskbridge/ids"

// Peer is one control VM of the group.
type Peer struct {
	VM     ids.VMID   `yaml:"vm"`
	Region ids.Region `yaml:"region"`
	// Addr is the "ip:port" of its RPC listener.
	Addr string `yaml:"addr"`
	// Voter is true if the VM votes. If no peer in the list is marked as a
	// voter, the first VM of each region votes.
	Voter bool `yaml:"voter"`
}

// withDefaultVoters returns a copy of peers with the default voters marked if
// none is marked yet.
func withDefaultVoters(peers []Peer) []Peer {
	out := make([]Peer, len(peers))
	copy(out, peers)
	for _, p := range out {
		if p.Voter {
			return out
		}
	}
	seen := map[ids.Region]bool{}
	for i := range out {
		out[i].Voter = !seen[out[i].Region]
		seen[out[i].Region] = true
	}
	return out
}
