// Package directory spreads what entry VMs need to know: the published catalog
// document, the list of runners and the entry VMs themselves. Every control VM
// serves it to the entry VMs that watch it; an entry VM moves on from a control
// VM that has lost touch with the leader.
package directory
