// Package callers listens for callers over HTTP/1.1. The limits on what a
// caller may send can change while it listens, and it stops without cutting a
// request off.
package callers
