// Package machine combines settings, ledger, fencing tokens and sessions into
// the state machine to which every replica applies the replicated log. It
// performs no I/O and is deterministic: equal logs produce equal states, results
// and snapshots.
package machine
