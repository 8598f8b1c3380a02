package routing

import (
	"slices"

	"damaskbridge.example/damaskbridge/ids"
)

// Request describes one attempt of one stage.
type Request struct {
	Pool string
	// Model and Adapter must be loaded on the upstream; empty for any.
	Model, Adapter string
	// Prefix is the chain of prefix block hashes of the prompt, first block
	// first. Each hash covers all blocks before it.
	Prefix []uint64
	// DataRegion is the region that holds the previous stage's result; empty
	// for the VM's own region.
	DataRegion ids.Region
	// Bytes is the size of what is sent to the upstream and back.
	Bytes int64
	// Excluded are the addresses that earlier attempts used.
	Excluded []string
	// NoProbe keeps the request from being used as a probe of an upstream that
	// is ejected. Set it for non-idempotent requests.
	NoProbe bool
}

func (r *Request) excludes(address string) bool { return slices.Contains(r.Excluded, address) }
