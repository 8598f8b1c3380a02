package quarantine

import "github.com/cespare/xxhash/v2"

// Part identifies a part of prompts by the hash of its ID. Callers choose the
// IDs, so that their length is not bounded.
type Part uint64

// PartOf returns the part with an ID.
func PartOf(id string) Part { return Part(xxhash.Sum64String(id)) }

// PartsOf returns the parts with the given IDs, but no more than maxParts.
func PartsOf(ids []string) []Part {
	ids = ids[:min(len(ids), maxParts)]
	parts := make([]Part, 0, len(ids))
	for _, id := range ids {
		parts = append(parts, PartOf(id))
	}
	return parts
}

// maxParts bounds the parts of a prompt, and those of one crash in a report.
const maxParts = 32

// Set is a set of parts.
type Set map[Part]bool
