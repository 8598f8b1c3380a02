// Package keys creates and rotates the certificates of damaskbridge processes,
// and creates the tokens of workspaces and operators.
//
// A CA folder holds the CA and, for each VM, a folder that the operator copies
// to that VM in full:
//
//	ca.pem          certificate and key of the CA that issues certificates
//	next-ca.pem     certificate and key of the next CA, during a rotation
//	vms/<vm>/identity.pem  certificate and key of the VM
//	vms/<vm>/trust.pem     CA certificates that the VM trusts
//
// A rotation has three steps, and the operator copies the VM folders after each:
// Rotate makes every VM trust the next CA, Renew reissues every certificate from
// it, and Retire removes the trust in the old CA.
package keys
