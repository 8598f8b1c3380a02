package sockopt

import (
	"errors"
	"syscall"
)

// Unread is what a connection holds that was not read yet.
type Unread int

const (
	// UnreadNothing: nothing has arrived.
	UnreadNothing Unread = iota
	// UnreadData: at least one byte has arrived.
	UnreadData
	// UnreadEnd: the peer has closed its sending direction.
	UnreadEnd
)

// PeekUnread looks at what a read of the connection would return, without waiting
// and regardless of read deadlines. It returns the error of a broken connection.
func PeekUnread(c syscall.Conn) (Unread, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return UnreadNothing, err
	}
	var n int
	var recvErr error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, recvErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return UnreadNothing, err
	case errors.Is(recvErr, syscall.EAGAIN):
		return UnreadNothing, nil
	case recvErr != nil:
		return UnreadNothing, recvErr
	case n == 0:
		return UnreadEnd, nil
	}
	return UnreadData, nil
}
