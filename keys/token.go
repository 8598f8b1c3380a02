package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
)

// TokenKind says who presents a token. It is the token's prefix, so that a
// token found somewhere shows what it opens.
type TokenKind string

// Kinds of tokens.
const (
	WorkspaceToken TokenKind = "dbw_"
	OperatorToken  TokenKind = "dbo_"
)

const tokenBytes = 32

// NewToken makes a random token and its digest. The token is shown once and
// never stored; the digest goes into the settings.
func NewToken(kind TokenKind) (token, digest string) {
	b := make([]byte, tokenBytes)
	// crypto/rand.Read never fails; it ends the process if the system's
	// source of randomness is broken.
	_, _ = rand.Read(b)
	token = string(kind) + base64.RawURLEncoding.EncodeToString(b)
	return token, Digest(token)
}

// Digest is the hex SHA-256 digest of a whole token.
func Digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
