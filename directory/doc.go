// Package directory distributes to entry VMs the published catalog document, the
// list of runners and the list of entry VMs. Each entry VM watches one control
// VM with long polls and switches to another one when that control VM fails or
// loses contact with the leader.
package directory
