// Package controlvm is the program of a control VM: the replica of the settings
// group, the audit store, the calls of entry VMs and the operators' API.
package controlvm
