package sockopt

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// TCP states of Linux in which the peer sends no more.
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// PeerClosed reports whether the peer has closed its sending direction or the connection
// is broken, also behind bytes that were not read.
func PeerClosed(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) { closed = isPeerClosed(fd) })
	return closed || err != nil
}

// AwaitPeerClosed waits until PeerClosed is true, and reads nothing. It returns an error
// if the read deadline of the connection is over before, or it is closed.
func AwaitPeerClosed(c syscall.Conn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(isPeerClosed)
}

func isPeerClosed(fd uintptr) bool {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return true
	}
	switch info.State {
	case tcpClose, tcpCloseWait, tcpLastAck, tcpClosing:
		return true
	}
	return false
}
