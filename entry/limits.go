package entry

import (
	"net/http"
	"strconv"

	"damaskbridge.example/damaskbridge/problem"
)

// Limits of callers' requests that are not settings.
const (
	// maxKeyBytes limits an idempotency key.
	maxKeyBytes = 255
	// maxOpBytes limits the name of an operation, as the settings limit names.
	maxOpBytes = 64
	// maxMessages limits the messages of a chat request. An empty message
	// takes 3 bytes of a body and more than 24 in each call to an engine.
	maxMessages = 4096
	// maxTokensLimit limits max_tokens.
	maxTokensLimit = 1 << 20
	// maxTargetBytes limits a path in an audit record. A record above the
	// audit log's own limit is refused, and its request would be missing.
	maxTargetBytes = 256
)

// auditText gives a path in printable ASCII of limited length, with other bytes
// escaped. A record with bytes that are not UTF-8 cannot be decoded.
func auditText(path string) string {
	quoted := strconv.QuoteToASCII(path[:min(len(path), maxTargetBytes)])
	text := quoted[1 : len(quoted)-1]
	return text[:min(len(text), maxTargetBytes)]
}

// checkChat checks the parts of a chat request that its body's size does not
// bound.
func checkChat(q *request, in *ChatRequest) error {
	if len(in.Messages) == 0 {
		return q.fail(problem.BadRequest, "messages are empty")
	}
	if len(in.Messages) > maxMessages {
		return q.fail(problem.BadRequest, "there are %d messages, the limit is %d", len(in.Messages), maxMessages)
	}
	if err := checkMaxTokens(q, "max_tokens", in.MaxTokens); err != nil {
		return err
	}
	return checkMaxTokens(q, "max_completion_tokens", in.MaxCompletionTokens)
}

// checkMaxTokens checks a number of tokens; 0 leaves it to the engine.
func checkMaxTokens(q *request, name string, n int) error {
	if n < 0 || n > maxTokensLimit {
		return q.fail(problem.BadRequest, "%s is %d, want 0 to %d", name, n, maxTokensLimit)
	}
	return nil
}

// checkOp checks the name of an operation, which becomes part of the path of
// the upstream call. It is formed as the names in the settings are.
func checkOp(q *request, op string) error {
	if len(op) > maxOpBytes {
		return q.fail(problem.BadRequest, "the operation's name is longer than %d bytes", maxOpBytes)
	}
	if op == "" || op == "." || op == ".." {
		return q.fail(problem.BadRequest, "operation %q is not a name", op)
	}
	for i := range len(op) {
		if !nameByte(op[i]) {
			return q.fail(problem.BadRequest, "operation %q has characters other than letters, digits, '.', '_' and '-'", op)
		}
	}
	return nil
}

func nameByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return c == '.' || c == '_' || c == '-'
	}
}

// idempotencyKey reads the caller's key, which may be missing. Of two keys none
// is taken: a proxy that keeps the other one would repeat the call under it.
func idempotencyKey(q *request, r *http.Request) (string, error) {
	keys := r.Header.Values(HeaderKey)
	if len(keys) == 0 {
		return "", nil
	}
	if len(keys) > 1 {
		return "", q.fail(problem.BadRequest, "%s is sent %d times, want once", HeaderKey, len(keys))
	}
	if len(keys[0]) > maxKeyBytes {
		return "", q.fail(problem.BadRequest, "%s is longer than %d bytes", HeaderKey, maxKeyBytes)
	}
	if !printable(keys[0]) {
		return "", q.fail(problem.BadRequest, "%s is not printable ASCII", HeaderKey)
	}
	return keys[0], nil
}

// printable says whether s is printable ASCII. Ledger commands with bytes that
// are not UTF-8 cannot be decoded, and headers with control characters cannot
// be sent.
func printable(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
