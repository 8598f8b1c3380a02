package wal

import (
	"errors"
	"fmt"
)

// DamageError reports that data which was synced is corrupt or missing.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

func (e *DamageError) Error() string {
	return fmt.Sprintf("wal: %s is damaged at byte %d: %s; move the data folder away and restart, so that the replica joins under a new incarnation and takes its state from the leader", e.File, e.Offset, e.Reason)
}

// IOError reports a failed file operation. After a failed sync, or
// a failed write for another reason than a full disk, the Log returns it for all
// further operations.
type IOError struct {
	Op  string
	Err error
}

func (e *IOError) Error() string {
	return fmt.Sprintf("wal: %s failed: %v; the replica has stopped; free or replace the disk, then restart the process", e.Op, e.Err)
}

func (e *IOError) Unwrap() error { return e.Err }

// IdentityError reports that a directory belongs to another group or VM.
type IdentityError struct {
	Dir  string
	Want Identity
	Got  Identity
}

func (e *IdentityError) Error() string {
	return fmt.Sprintf("wal: folder %s holds group %d of VM %q, not group %d of VM %q; correct the data folder or the VM's name in the settings", e.Dir, e.Got.Group, e.Got.Replica.VM, e.Want.Group, e.Want.Replica.VM)
}

// LockedError reports that the lock of a directory cannot be acquired, usually
// because another process uses the directory.
type LockedError struct {
	Dir string
	Err error
}

func (e *LockedError) Error() string {
	return fmt.Sprintf("wal: folder %s is in use: %v; end the other process or give this one its own folder", e.Dir, e.Err)
}

func (e *LockedError) Unwrap() error { return e.Err }

// ErrClosed means that the Log was closed.
var ErrClosed = errors.New("wal: the log is closed; open it again")

// FullError reports that the disk had no space for a write. Nothing of the write
// is kept and the Log can be used further: the caller repeats the operation once
// there is space.
type FullError struct {
	Op  string
	Err error
}

func (e *FullError) Error() string {
	return fmt.Sprintf("wal: %s: no space on the disk: %v; free space, the operation is then repeated", e.Op, e.Err)
}

func (e *FullError) Unwrap() error { return e.Err }
