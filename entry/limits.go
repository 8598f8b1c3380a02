package entry

import (
	"net/http"
	"strconv"

	"damaskbridge.example/damaskbridge/problem"
)

// Limits of callers' requests that cannot be configured.
const (
	// maxKeyBytes limits the length of an idempotency key.
	maxKeyBytes = 255
	// maxOpBytes limits the name of an operation. Names in the settings have
	// the same limit.
	maxOpBytes = 64
	// maxMessages limits the messages of a chat request. The body size does not
	// bound the engine calls: an empty message takes 3 bytes in the body and
	// more than 24 in each call to an engine.
	maxMessages = 4096
	// maxTokensLimit limits max_tokens and max_completion_tokens.
	maxTokensLimit = 1 << 20
	// maxTargetBytes limits a path in an audit record. The audit log rejects
	// records above its own size limit, and the request would be missing.
	maxTargetBytes = 256
)

// auditPath returns a path as printable ASCII of limited length, with all other
// bytes escaped. A record with bytes that are not UTF-8 cannot be decoded.
func auditPath(path string) string {
	quoted := strconv.QuoteToASCII(path[:min(len(path), maxTargetBytes)])
	text := quoted[1 : len(quoted)-1]
	return text[:min(len(text), maxTargetBytes)]
}

// checkChat checks the parts of a chat request that the body size limit does
// not bound.
func checkChat(req *request, in *ChatRequest) error {
	if len(in.Messages) == 0 {
		return req.problemf(problem.BadRequest, "messages are empty")
	}
	if len(in.Messages) > maxMessages {
		return req.problemf(problem.BadRequest, "there are %d messages, the limit is %d", len(in.Messages), maxMessages)
	}
	if err := checkMaxTokens(req, "max_tokens", in.MaxTokens); err != nil {
		return err
	}
	return checkMaxTokens(req, "max_completion_tokens", in.MaxCompletionTokens)
}

// checkMaxTokens checks a token limit; 0 leaves the limit to the engine.
func checkMaxTokens(req *request, name string, n int) error {
	if n < 0 || n > maxTokensLimit {
		return req.problemf(problem.BadRequest, "%s is %d, want 0 to %d", name, n, maxTokensLimit)
	}
	return nil
}

// checkOperation checks the name of an operation, which becomes part of the path
// of the upstream call. It follows the same rules as names in the settings.
func checkOperation(req *request, op string) error {
	if len(op) > maxOpBytes {
		return req.problemf(problem.BadRequest, "the operation's name is longer than %d bytes", maxOpBytes)
	}
	if op == "" || op == "." || op == ".." {
		return req.problemf(problem.BadRequest, "operation %q is not a name", op)
	}
	for i := range len(op) {
		if !isNameByte(op[i]) {
			return req.problemf(problem.BadRequest, "operation %q has characters other than letters, digits, '.', '_' and '-'", op)
		}
	}
	return nil
}

func isNameByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return c == '.' || c == '_' || c == '-'
	}
}

// idempotencyKey returns the caller's key, empty if there is none. It rejects a
// request with two keys: a proxy that keeps only the other one would repeat the
// call under that key.
func idempotencyKey(req *request, r *http.Request) (string, error) {
	keys := r.Header.Values(HeaderKey)
	if len(keys) == 0 {
		return "", nil
	}
	if len(keys) > 1 {
		return "", req.problemf(problem.BadRequest, "%s is sent %d times, want once", HeaderKey, len(keys))
	}
	if len(keys[0]) > maxKeyBytes {
		return "", req.problemf(problem.BadRequest, "%s is longer than %d bytes", HeaderKey, maxKeyBytes)
	}
	if !isPrintableASCII(keys[0]) {
		return "", req.problemf(problem.BadRequest, "%s is not printable ASCII", HeaderKey)
	}
	return keys[0], nil
}

// isPrintableASCII reports whether s is printable ASCII. Ledger commands with
// bytes that are not UTF-8 cannot be decoded, and headers with control
// characters cannot be sent.
func isPrintableASCII(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
