// Package settings holds the settings tree: branches with inherited values,
// and the workspaces, pipelines, services and pools that operators define. It
// is pure: changes go in, new immutable trees come out.
package settings
