// Package audit records the life of every request. An entry VM's Writer sends
// batches of records to control VMs, where a Store keeps them in append-only
// segments with a hash chain. Summarize summarizes the records of one request;
// Unaccounted reports what is missing from the records of a session.
package audit
