// Package ledger keeps the claims and stored answers of non-idempotent
// requests, so that each runs at most once. It is pure; times are those of the
// state machine, in milliseconds since 1970.
//
// A key is free, claimed by one request, done (its answer is stored) or
// unknown (its owner's session ended before an answer was recorded). After the
// retention only the fact that it was used remains: for a UUIDv7 key the
// watermark, for any other key a tombstone.
package ledger
