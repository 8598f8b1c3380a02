package control

import "damaskbridge.example/damaskbridge/ids"

// Peer is one control VM of the group.
type Peer struct {
	VM     ids.VMID   `yaml:"vm"`
	Region ids.Region `yaml:"region"`
	// Addr is the "ip:port" of its RPC listener.
	Addr string `yaml:"addr"`
	// Voter says that the VM votes. With no voter in the whole list, the
	// first VM of each region votes.
	Voter bool `yaml:"voter"`
}

// withVoters gives peers with the default voters marked.
func withVoters(peers []Peer) []Peer {
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
