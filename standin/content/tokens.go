package content

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultMaxTokens is used where a request gives no limit.
const DefaultMaxTokens = 128

// decorations end tokens. The quotes, the newline and the letters outside
// ASCII show encoding faults in the paths that carry the tokens.
var decorations = [...]string{" ", " ", " ", ", ", ". ", "\n", "\" ", "é ", "ọ̀ ", "\\ "}

// syllables form the words of tokens.
var syllables = [...]string{
	"ba", "de", "fi", "go", "hu", "ka", "le", "mi", "no", "pu", "ra", "se", "ti", "vo", "wu", "za",
}

// Tokens returns the completion of the messages as tokens: at least one and at
// most maxTokens, the count taken from the messages. A maxTokens of 0 or less
// stands for DefaultMaxTokens.
func Tokens(messages []Message, maxTokens int) []string {
	if maxTokens <= 0 {
		maxTokens = DefaultMaxTokens
	}
	seed := xxhash.Sum64String(Prompt(messages))
	count := tokenCount(seed, maxTokens)
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = token(mix(seed + uint64(i)))
	}
	return tokens
}

// tokenCount returns a count from the upper half of 1..maxTokens, so that a long
// report is long.
func tokenCount(seed uint64, maxTokens int) int {
	half := maxTokens / 2
	spread := uint64(maxTokens - half)
	return half + 1 + int(mix(seed)%spread)
}

func token(h uint64) string {
	var b strings.Builder
	for range 2 {
		b.WriteString(syllables[h%uint64(len(syllables))])
		h /= uint64(len(syllables))
	}
	b.WriteString(strconv.FormatUint(h%1000, 36))
	h /= 1000
	b.WriteString(decorations[h%uint64(len(decorations))])
	return b.String()
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
