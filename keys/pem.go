package keys

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
)

const (
	fileMode = 0o600
	dirMode  = 0o700

	certBlockType = "CERTIFICATE"
	keyBlockType  = "PRIVATE KEY"
)

// encodeIdentity encodes a certificate and its key as PEM.
func encodeIdentity(cert *x509.Certificate, key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, err
	}
	out := pem.EncodeToMemory(&pem.Block{Type: certBlockType, Bytes: cert.Raw})
	return append(out, pem.EncodeToMemory(&pem.Block{Type: keyBlockType, Bytes: der})...), nil
}

func encodeCerts(certs []*x509.Certificate) []byte {
	var out []byte
	for _, c := range certs {
		out = append(out, pem.EncodeToMemory(&pem.Block{Type: certBlockType, Bytes: c.Raw})...)
	}
	return out
}

// decodePEM decodes certificates and a key. Of several keys it returns the last.
func decodePEM(b []byte) ([]*x509.Certificate, *ecdsa.PrivateKey, error) {
	var certs []*x509.Certificate
	var key *ecdsa.PrivateKey
	for {
		var block *pem.Block
		block, b = pem.Decode(b)
		if block == nil {
			break
		}
		switch block.Type {
		case certBlockType:
			c, err := x509.ParseCertificate(block.Bytes)
			if err != nil {
				return nil, nil, err
			}
			certs = append(certs, c)
		case keyBlockType:
			k, err := parseKey(block.Bytes)
			if err != nil {
				return nil, nil, err
			}
			key = k
		default:
			return nil, nil, fmt.Errorf("unexpected PEM block of type %q", block.Type)
		}
	}
	if len(bytes.TrimSpace(b)) > 0 {
		return nil, nil, errors.New("there is text outside the PEM blocks")
	}
	return certs, key, nil
}

func parseKey(der []byte) (*ecdsa.PrivateKey, error) {
	k, err := x509.ParsePKCS8PrivateKey(der)
	if err != nil {
		return nil, err
	}
	key, ok := k.(*ecdsa.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("the key is a %T instead of an ECDSA key", k)
	}
	return key, nil
}

// decodeIdentity decodes a certificate and its key. It returns an error unless
// there is exactly one certificate and the key matches it.
func decodeIdentity(b []byte) (*identity, error) {
	certs, key, err := decodePEM(b)
	if err != nil {
		return nil, err
	}
	if len(certs) != 1 || key == nil {
		return nil, fmt.Errorf("it has %d certificates and a key: %t; one of each is required", len(certs), key != nil)
	}
	if !key.PublicKey.Equal(certs[0].PublicKey) {
		return nil, errors.New("the key does not match the certificate")
	}
	return &identity{cert: certs[0], key: key}, nil
}
