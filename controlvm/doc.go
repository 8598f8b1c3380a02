// Package controlvm runs a control VM: the replica of the settings group, the
// audit store, the RPC server for entry VMs and the HTTP API for operators.
package controlvm
