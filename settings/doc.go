// Package settings implements the versioned settings tree: branches with
// inherited values, and the workspaces, pipelines, services and pools that
// operators define. Trees are immutable and the package does no I/O: applying
// a change returns a new tree.
package settings
