// Package callers implements the HTTP/1.1 server for clients. Its limits can
// change while it is running, and it shuts down without aborting active
// requests.
package callers
