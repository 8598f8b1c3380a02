// Package catalog holds what operators publish as one document with a version:
// routes, services, workspaces and limits. A document is valid or refused as a
// whole, and the highest version that was accepted is in force. Catalogs and
// tables are immutable once built and safe for concurrent use; Held belongs to
// the replica's goroutine.
package catalog
