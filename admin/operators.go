package admin

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// Operators maps token digests to operator names. It is immutable.
type Operators struct {
	byDigest map[[sha256.Size]byte]string
}

// Operator is an operator in the configuration of a control VM.
type Operator struct {
	Name string `yaml:"name"`
	// TokenSHA256 lists the hex SHA-256 digests of the operator's tokens.
	TokenSHA256 []string `yaml:"token_sha256"`
}

// NewOperators returns the Operators of a list. It returns an error if a name is
// missing, a digest is malformed or two entries have the same digest.
func NewOperators(list []Operator) (*Operators, error) {
	o := &Operators{byDigest: map[[sha256.Size]byte]string{}}
	for _, op := range list {
		if op.Name == "" {
			return nil, fmt.Errorf("admin: an operator has no name; give each operator a name")
		}
		for _, digest := range op.TokenSHA256 {
			if err := o.add(op.Name, digest); err != nil {
				return nil, err
			}
		}
	}
	return o, nil
}

// NewOperatorsFromDigests returns the Operators of token digests without names.
// Each operator is named after the first eight digits of the digest, so that
// the history still shows which token made a change.
func NewOperatorsFromDigests(digests []string) (*Operators, error) {
	list := make([]Operator, len(digests))
	for i, d := range digests {
		list[i] = Operator{Name: "token-" + d[:min(len(d), 8)], TokenSHA256: []string{d}}
	}
	return NewOperators(list)
}

func (o *Operators) add(name, hexDigest string) error {
	raw, err := hex.DecodeString(hexDigest)
	if err != nil || len(raw) != sha256.Size {
		return fmt.Errorf("admin: operator %q: %q is not a SHA-256 digest; give 64 hex digits", name, hexDigest)
	}
	digest := [sha256.Size]byte(raw)
	if other, ok := o.byDigest[digest]; ok {
		return fmt.Errorf("admin: operators %q and %q have the same token; give each operator its own", other, name)
	}
	o.byDigest[digest] = name
	return nil
}

// lookupHeader returns the operator of an Authorization header. It looks up the
// digest, so that its timing reveals nothing about the tokens.
func (o *Operators) lookupHeader(header string) (name string, ok bool) {
	scheme, token, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", false
	}
	name, ok = o.byDigest[sha256.Sum256([]byte(token))]
	return name, ok
}
