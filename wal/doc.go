// Package wal stores the log, the hard state and the snapshots of one
// replication group in one directory. All data is checksummed. Open truncates a
// torn tail and returns a *DamageError if earlier data is corrupt. A write
// for which the disk has no space leaves nothing behind and gives a *FullError.
// After any other failed write or sync a Log rejects all operations, because the
// state of the file is no longer known.
package wal
