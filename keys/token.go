package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
)

// TokenKind tells who a token authenticates. It is the token's prefix, so that a
// leaked token shows what it gives access to.
type TokenKind string

// Kinds of tokens.
const (
	WorkspaceToken TokenKind = "dbw_"
	OperatorToken  TokenKind = "dbo_"
)

const tokenBytes = 32

// NewToken returns a random token and its digest. The token is shown once and
// never stored; the digest goes into the settings.
func NewToken(kind TokenKind) (token, digest string) {
	b := make([]byte, tokenBytes)
	// crypto/rand.Read never returns an error; it crashes the process if the
	// system's random source fails.
	_, _ = rand.Read(b)
	token = string(kind) + base64.RawURLEncoding.EncodeToString(b)
	return token, TokenDigest(token)
}

// TokenDigest returns the hex SHA-256 digest of a token, including its prefix.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
