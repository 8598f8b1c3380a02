// Package keys makes and rotates the certificates of damaskbridge processes
// and the tokens of workspaces and operators.
//
// A CA folder holds the CA and, for each VM, a folder that the operator copies
// to that VM as a whole:
//
//	ca.pem          certificate and key of the CA that issues now
//	next-ca.pem     the CA of a rotation under way
//	vms/<vm>/identity.pem  certificate and key of the VM
//	vms/<vm>/trust.pem     CA certificates that the VM trusts
//
// A rotation has three steps, and the VM folders are copied after each:
// Rotate lets every VM trust the next CA, Renew issues every certificate again
// from it, Retire ends the trust in the old CA.
package keys
