// Package wire defines messages that damaskbridge processes exchange over
// package transport. They are encoded as CBOR maps with integer keys.
package wire
