// Package catalog defines the configuration that operators publish as one
// versioned document: routes, services, workspaces and limits. A document is
// accepted or refused as a whole, and the highest accepted version is in force.
// Catalogs and tables must not be changed once built and are then safe for
// concurrent use. ActiveDocument may be used by the replica's goroutine only.
package catalog
