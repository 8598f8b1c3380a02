// Command review-cases plays the cases of the review that cannot be put as a
// day of the bench. It starts the programs of the deploy file as separate
// processes on loopback addresses, together with stand-ins for the platform's
// list, the runners, the operator and the clients.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and
// with 2 if the case could not run. With TROUBLE=0 in the environment it plays
// the same without the disruption.
package main
