// Package wal stores the log, the hard state and the snapshots of one group in
// one folder. Everything is checksummed. A torn tail is truncated at opening;
// damage before it is refused with a *DamageError. After the first failed
// write or sync a Log refuses everything, because the state of the file is no
// longer known.
package wal
