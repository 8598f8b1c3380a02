package catalog

import "time"

// Catalog is one published document, decoded.
type Catalog struct {
	// Version orders documents; the highest one is in force.
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Limits bound what a caller may send. Zero values mean the defaults of the
// listener.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the reading of a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may stay without a request.
	IdleTimeout time.Duration
}

// Workspace is a customer and its keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority ranks the workspace's requests, 0 first; HasPriority says that
	// it is set and goes before the route's.
	Priority    int
	HasPriority bool
}
