// Package raft is the replicated-log core of one group. It is pure: messages,
// ticks and proposals go in; entries to store, messages to send and entries to
// apply come out through Ready and Advance. It performs no I/O, reads no clock
// and starts no goroutine. A Node is not safe for concurrent use.
//
// The caller's contract for each Ready: send Early at any time, store and sync
// HardState, Snapshot and Entries, then send Messages, restore Snapshot, apply
// Committed, and call Advance. Advance reports the sync; only then does the
// node count its own copy and its own vote.
package raft
