// Package audit records what happened to every request. An entry VM's Writer
// sends batches of records to control VMs, where a Store keeps them in
// append-only segments with a hash chain. Account and Unaccounted turn records
// into the truthful summary of one request and of one session.
package audit
