// Package e2e runs the programs as separate processes, each with its own
// settings file and address, and brings faults about: kills, freezes, restarts,
// lost disks and, with Options.Links, faults of the network between VMs. It
// is for tests and experiments.
package e2e
