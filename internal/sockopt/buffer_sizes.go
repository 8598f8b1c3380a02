package sockopt

import "syscall"

// BufferSizes returns a Control function of a net.ListenConfig that sets the size of
// the kernel's receive and send buffers in bytes, also for the connections that are
// accepted. A platform that does not support it keeps its own.
func BufferSizes(bytes int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, bytes)
		})
	}
}
