package catalog

import (
	"time"

	"damaskbridge.example/damaskbridge/residency"
)

// Catalog is a decoded document.
type Catalog struct {
	// Version orders documents; the highest one is in force.
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Limits limit the requests and connections of callers. A zero value selects the
// listener's default.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is the timeout for reading the header of a request.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may stay open without a
	// request.
	IdleTimeout time.Duration
}

// Workspace is a tenant and its API keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority orders the workspace's requests, 0 first. It overrides the
	// priority of the route if HasPriority is true.
	Priority    int
	HasPriority bool
	// AllowedRegions are the regions in which the workspace's requests may be
	// processed. Those of the route hold as well.
	AllowedRegions residency.Regions
}
