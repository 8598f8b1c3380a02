// Package ledger stores the idempotency keys of non-idempotent requests with
// their claims and answers, so that each request is executed at most once. The
// package is deterministic and does no I/O. Times come from the state machine
// and are Unix times in milliseconds.
//
// A key is free, claimed by one request, done (its answer is stored) or unknown
// (its owner's session ended before an answer was recorded). After the retention
// only the fact that the key was used remains: the watermark covers UUIDv7 keys,
// and any other key leaves a tombstone.
package ledger
