package content

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Kinds of stages, as in the settings tree.
const (
	Encode   = "encode"
	Retrieve = "retrieve"
	Rerank   = "rerank"
	Generate = "generate"
)

// Words in the output of a stage. Retrieval returns the most, so that its
// traffic between regions has a price.
const (
	encodeWords   = 24
	retrieveWords = 192
	rerankWords   = 64
	otherWords    = 8
)

// StageOutput returns the output of an encode, retrieve or rerank stage. Input
// is the caller's original input and prior the previous stage's output.
func StageOutput(kind, input, prior string) string {
	seed := xxhash.Sum64String(kind + "\x00" + input + "\x00" + prior)
	var b strings.Builder
	b.WriteString(kind)
	b.WriteByte(':')
	for i := range stageWords(kind) {
		b.WriteByte(' ')
		b.WriteString(word(mix(seed + uint64(i))))
	}
	return b.String()
}

func stageWords(kind string) int {
	switch kind {
	case Encode:
		return encodeWords
	case Retrieve:
		return retrieveWords
	case Rerank:
		return rerankWords
	default:
		return otherWords
	}
}

func word(h uint64) string {
	var b strings.Builder
	for range 3 {
		b.WriteString(syllables[h%uint64(len(syllables))])
		h /= uint64(len(syllables))
	}
	return b.String()
}

// ServiceEcho returns the hex SHA-256 of a service call's body.
func ServiceEcho(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Digest returns the hex SHA-256 of text.
func Digest(text string) string {
	return ServiceEcho([]byte(text))
}
