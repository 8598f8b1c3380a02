// Package sockowner determines which process owns a local UDP socket, by means
// of the Linux /proc file system. Network relays use it to distinguish clients
// that share an address.
package sockowner

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// UDPSocketInodes returns the inodes of the UDP sockets bound to a local port.
func UDPSocketInodes(port uint16) map[string]bool {
	inodes := make(map[string]bool)
	for _, path := range []string{"/proc/self/net/udp", "/proc/self/net/udp6"} {
		raw, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(raw)) {
			fields := strings.Fields(line)
			const addressField, inodeField = 1, 9
			if len(fields) <= inodeField {
				continue
			}
			_, hex, _ := strings.Cut(fields[addressField], ":")
			if n, err := strconv.ParseUint(hex, 16, 16); err == nil && uint16(n) == port {
				inodes[fields[inodeField]] = true
			}
		}
	}
	return inodes
}

// OwnsSocket reports whether a process has a socket with one of the inodes open.
func OwnsSocket(pid int, inodes map[string]bool) bool {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	files, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, f := range files {
		target, err := os.Readlink(dir + "/" + f.Name())
		if err != nil {
			continue
		}
		inode, ok := strings.CutPrefix(target, "socket:[")
		if ok && inodes[strings.TrimSuffix(inode, "]")] {
			return true
		}
	}
	return false
}
