package config

import (
	"errors"
	"syscall"
	"time"
)

// Clients bounds what the connections of callers take of an entry VM.
type Clients struct {
	// Connections is the number of connections beyond which one that makes no
	// progress is closed for each new one. 0 stands for what descriptors and memory
	// allow.
	Connections int `yaml:"connections"`
	// Descriptors is the number of descriptors that the process may have, 0 if only
	// the system limits them.
	Descriptors int `yaml:"descriptors"`
	// WriteTimeout ends a connection whose client takes nothing of a response for so
	// long.
	WriteTimeout Duration `yaml:"write_timeout"`
}

const (
	// connDescriptors and connMemory are the parts of the descriptors and of the
	// memory that the connections of callers may take. Each request may need a
	// connection to a runner as well, and the last third is for links between VMs,
	// files and what is kept open.
	connDescriptors = 1.0 / 3
	connMemory      = 0.2
	maxConns        = 1 << 20
	// connBytes is what a connection takes at most beside the memory for bytes of
	// others: a goroutine, its buffers and the part of a request that is not counted.
	connBytes = 32 << 10
	// maxConnMemory is the part of the memory that the connections may take at most if
	// their number is set.
	maxConnMemory = 0.4
)

// MaxConns returns the number of connections of callers that a process with a memory
// limit may have.
func (c Clients) MaxConns(memory Bytes) int {
	if c.Connections > 0 {
		return c.Connections
	}
	descriptors := systemDescriptors()
	if c.Descriptors > 0 {
		descriptors = min(descriptors, c.Descriptors)
	}
	return max(min(int(connDescriptors*float64(descriptors)), int(connMemory*float64(memory))/connBytes), 1)
}

// systemDescriptors returns the number of descriptors that the system allows the
// process.
func systemDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxConns {
		return maxConns
	}
	return int(limit.Cur)
}

func defaultClients() Clients { return Clients{WriteTimeout: Duration(2 * time.Minute)} }

// check checks the settings of a process with a memory limit.
func (c Clients) check(memory Bytes) error {
	allowed := min(int(maxConnMemory*float64(memory))/connBytes, maxConns)
	return errors.Join(
		checkRange("clients.connections", c.Connections, 0, allowed),
		checkRange("clients.descriptors", c.Descriptors, 0, maxConns),
		checkRange("clients.write_timeout", c.WriteTimeout, Duration(time.Second), Duration(time.Hour)),
	)
}
