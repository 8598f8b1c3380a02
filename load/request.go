package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"damaskbridge.example/damaskbridge/standin/content"
)

// request is one scheduled request with what its response must contain.
type request struct {
	index     int
	at        time.Duration // after the start of the run
	profile   Profile
	workspace Workspace
	input     string
	key       string
}

// body returns the request's body.
func (r *request) body() []byte {
	switch r.profile.Kind {
	case KindChat, KindChatStream:
		return mustJSON(struct {
			Model     string            `json:"model"`
			Messages  []content.Message `json:"messages"`
			MaxTokens int               `json:"max_tokens"`
			Stream    bool              `json:"stream"`
		}{r.profile.Target, r.messages(), r.profile.MaxTokens, r.profile.Kind == KindChatStream})
	case KindLookup, KindBooking, KindRepeat:
		return mustJSON(struct {
			Note string `json:"note"`
		}{r.input})
	default:
		return mustJSON(struct {
			Input     string `json:"input"`
			MaxTokens int    `json:"max_tokens"`
			Stream    bool   `json:"stream"`
		}{r.input, r.profile.MaxTokens, r.profile.Kind.streams()})
	}
}

func (r *request) messages() []content.Message {
	return []content.Message{{Role: content.RoleUser, Content: r.input}}
}

// path returns the request's path.
func (r *request) path() string {
	switch r.profile.Kind {
	case KindChat, KindChatStream:
		return "/v1/chat/completions"
	case KindLookup, KindBooking, KindRepeat:
		return "/v1/services/" + r.profile.Target + "/" + r.profile.Op
	default:
		return "/v1/pipelines/" + r.profile.Target
	}
}

// expected returns the tokens of the right response of a pipeline.
func (r *request) expected() []string {
	return content.PipelineTokens(r.profile.Stages, r.input, r.profile.MaxTokens)
}

func (r *request) expectedText() string { return strings.Join(r.expected(), "") }

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		// Only values of this package's own types are passed in.
		panic(err)
	}
	return data
}

// makeInput returns an input that no other request of the run has.
func makeInput(rng *rand.Rand, index int, p Profile) string {
	var b strings.Builder
	if p.SharedPrefix > 0 {
		prefix := rng.IntN(p.SharedPrefix)
		for b.Len() < p.InputBytes/2 {
			fmt.Fprintf(&b, "shared context %d of %s; ", prefix, p.Target)
		}
	}
	fmt.Fprintf(&b, "request %d nonce %016x", index, rng.Uint64())
	for b.Len() < p.InputBytes {
		fmt.Fprintf(&b, " %x", rng.Uint32())
	}
	return b.String()
}

// makeKey returns a key in UUIDv7 form for the given wall time.
func makeKey(rng *rand.Rand, at time.Time) string {
	ms := uint64(at.UnixMilli()) & (1<<48 - 1)
	high := ms<<16 | 0x7000 | rng.Uint64()&0xfff
	low := rng.Uint64()&(1<<62-1) | 1<<63
	return fmt.Sprintf("%08x-%04x-%04x-%04x-%012x", high>>32, high>>16&0xffff, high&0xffff, low>>48, low&(1<<48-1))
}
