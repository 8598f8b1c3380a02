// Package documentcheck checks a catalog document before it is published: what a
// control VM would refuse, what is valid and probably not meant, and what differs
// from the document in force.
package documentcheck
