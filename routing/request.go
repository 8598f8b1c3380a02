package routing

import (
	"slices"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/residency"
)

// Request describes one attempt of one stage.
type Request struct {
	Pool string
	// Model and Adapter must be loaded on the upstream. Empty means any.
	Model, Adapter string
	// Prefix holds the hashes of the prompt's prefix blocks in order. Each hash
	// also covers all blocks before its own.
	Prefix []uint64
	// DataRegion is the region that holds the result of the previous stage. Empty
	// means the VM's own region.
	DataRegion ids.Region
	// Allowed are the regions whose upstreams may be used.
	Allowed residency.Regions
	// Bytes is the total size of the data sent to the upstream and back.
	Bytes int64
	// Excluded holds the addresses used by earlier attempts. They are used again
	// only if no other upstream is available.
	Excluded []string
	// NoProbe prevents the request from being used as a probe. Set it for
	// non-idempotent requests.
	NoProbe bool
}

func (r *Request) excludes(address string) bool { return slices.Contains(r.Excluded, address) }
