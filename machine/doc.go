// Package machine composes settings, ledger, fencing tokens and sessions into
// the state machine that every replica applies the replicated log to. It is
// pure and deterministic: equal logs give equal states, results and snapshots.
package machine
