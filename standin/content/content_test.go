package content_test

import (
	"flag"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"damaskbridge.example/damaskbridge/standin/content"
)

func init() {
	_ = flag.Set("rapid.seed", "7341")
	_ = flag.Set("rapid.checks", "200")
}

// Guards against completions that are empty, exceed the limit, or differ
// between two computations of the same request.
func TestTokensAreBoundedAndRepeatable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		messages := []content.Message{{Role: content.RoleUser, Content: rapid.String().Draw(t, "text")}}
		limit := rapid.IntRange(-1, 700).Draw(t, "limit")
		tokens := content.Tokens(messages, limit)
		most := limit
		if limit <= 0 {
			most = content.DefaultMaxTokens
		}
		if len(tokens) < 1 || len(tokens) > most {
			t.Fatalf("%d tokens with limit %d", len(tokens), limit)
		}
		again := content.Tokens(messages, limit)
		if strings.Join(tokens, "|") != strings.Join(again, "|") {
			t.Fatal("two computations differ")
		}
	})
}

// Guards against two requests with the same expected response, which would
// hide a response delivered to the wrong request.
func TestOtherInputHasOtherOutput(t *testing.T) {
	stages := []string{content.Encode, content.Retrieve, content.Rerank, content.Generate}
	rapid.Check(t, func(t *rapid.T) {
		a := rapid.String().Draw(t, "a")
		b := rapid.String().Draw(t, "b")
		if a == b {
			return
		}
		for n := 1; n <= len(stages); n++ {
			// Few tokens leave too few possible texts; 16 are enough.
			if content.Pipeline(stages[:n], a, 32) == content.Pipeline(stages[:n], b, 32) {
				t.Fatalf("%q and %q have the same output after %d stages", a, b, n)
			}
		}
	})
}

// Guards against prefix hashes that do not name the whole prefix: prompts share
// exactly the blocks of their common beginning.
func TestPrefixChainFollowsCommonBeginning(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shared := rapid.StringN(0, 300, 400).Draw(t, "shared")
		a := content.PrefixChain(shared + "a" + rapid.StringN(0, 200, 300).Draw(t, "a"))
		b := content.PrefixChain(shared + "b" + rapid.StringN(0, 200, 300).Draw(t, "b"))
		same := 0
		for same < len(a) && same < len(b) && a[same] == b[same] {
			same++
		}
		if want := len(shared) / content.BlockBytes; same != want {
			t.Fatalf("%d common blocks, want %d", same, want)
		}
	})
}

// Guards against hashes that name a block without the blocks before it.
func TestPrefixChainDependsOnAllEarlierBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rest := strings.Repeat("x", content.BlockBytes*rapid.IntRange(1, 4).Draw(t, "blocks"))
		a := content.PrefixChain(strings.Repeat("a", content.BlockBytes) + rest)
		b := content.PrefixChain(strings.Repeat("b", content.BlockBytes) + rest)
		for i := range a {
			if a[i] == b[i] {
				t.Fatalf("block %d of %d has the same hash after another beginning", i, len(a))
			}
		}
	})
}
