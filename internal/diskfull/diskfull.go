// Package diskfull recognizes that a disk has no space for a write.
package diskfull

import (
	"errors"
	"syscall"
)

// Is reports whether err says that the disk, or the quota on it, is full.
func Is(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
