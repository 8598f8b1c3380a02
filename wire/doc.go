// Package wire defines the messages that damaskbridge processes exchange over
// package transport, as CBOR with integer keys.
package wire
