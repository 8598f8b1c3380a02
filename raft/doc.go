// Package raft implements the Raft consensus protocol for one replication
// group as a deterministic state machine. Its inputs are messages, ticks and
// proposals; its outputs are entries to store, messages to send and entries to
// apply, exchanged through Ready and Advance. It performs no I/O, reads no
// clock and starts no goroutine. A Node is not safe for concurrent use.
//
// For each Ready, the caller sends Immediate at any time, stores and syncs
// HardState, Snapshot and Entries, then sends Messages, restores Snapshot,
// applies Committed, and calls Advance. Advance confirms the sync; only then
// does the node count its own log and its own vote towards a majority.
package raft
