package admin

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// Operators holds the operators' token digests. It is immutable.
type Operators struct {
	byDigest map[[sha256.Size]byte]string
}

// Operator is one operator in the control VM's settings.
type Operator struct {
	Name string `yaml:"name"`
	// TokenSHA256 lists the hex SHA-256 digests of the operator's tokens.
	TokenSHA256 []string `yaml:"token_sha256"`
}

// NewOperators checks and indexes a list of operators.
func NewOperators(list []Operator) (*Operators, error) {
	o := &Operators{byDigest: map[[sha256.Size]byte]string{}}
	for _, op := range list {
		if op.Name == "" {
			return nil, fmt.Errorf("admin: an operator has no name; give each a name")
		}
		for _, text := range op.TokenSHA256 {
			if err := o.add(op.Name, text); err != nil {
				return nil, err
			}
		}
	}
	return o, nil
}

// OperatorsOf indexes token digests without names. Each operator is named by
// the first eight digits of the digest, so that the history still tells whose
// token made a change.
func OperatorsOf(digests []string) (*Operators, error) {
	list := make([]Operator, len(digests))
	for i, d := range digests {
		list[i] = Operator{Name: "token-" + d[:min(len(d), 8)], TokenSHA256: []string{d}}
	}
	return NewOperators(list)
}

func (o *Operators) add(name, text string) error {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != sha256.Size {
		return fmt.Errorf("admin: operator %q: %q is no SHA-256 digest; give 64 hex digits", name, text)
	}
	digest := [sha256.Size]byte(raw)
	if other, ok := o.byDigest[digest]; ok {
		return fmt.Errorf("admin: operators %q and %q have the same token; give each their own", other, name)
	}
	o.byDigest[digest] = name
	return nil
}

// find gives the operator of an Authorization header. The lookup is by digest,
// so that its timing tells nothing about the tokens.
func (o *Operators) find(header string) (name string, ok bool) {
	scheme, token, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", false
	}
	name, ok = o.byDigest[sha256.Sum256([]byte(token))]
	return name, ok
}
