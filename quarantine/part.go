package quarantine

import "github.com/cespare/xxhash/v2"

// Part identifies a part of prompts by the hash of its ID. Callers choose the
// IDs, so that their length is not bounded.
type Part uint64

// PartOf returns the part with an ID.
func PartOf(id string) Part { return Part(xxhash.Sum64String(id)) }

// PartsOf returns the parts with the given IDs.
func PartsOf(ids []string) []Part {
	parts := make([]Part, 0, len(ids))
	for _, id := range ids {
		parts = append(parts, PartOf(id))
	}
	return parts
}

// Set is a set of parts.
type Set map[Part]bool
