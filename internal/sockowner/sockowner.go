// Package sockowner finds the process that owns a local UDP socket, for relays
// that must tell callers at one address apart.
package sockowner

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Inodes gives the inodes of the UDP sockets at a local port.
func Inodes(port uint16) map[string]bool {
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

// Owns says whether a process has one of the sockets open.
func Owns(pid int, inodes map[string]bool) bool {
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
