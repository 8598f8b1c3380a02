// Package directory distributes to entry VMs the published catalog document, the
// list of runners, the list of entry VMs and the quarantined parts of prompts.
// Each entry VM watches one control VM with long polls and switches to another
// one when that control VM fails or loses contact with the leader. With its
// watch it reports the runners that it has lost; the leader decides from all
// reports which parts are quarantined.
package directory
