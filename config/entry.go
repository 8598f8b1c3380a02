package config

import (
	"errors"
	"fmt"
	"time"
)

// Entry holds the settings of an entry VM's process.
type Entry struct {
	VM      VM      `yaml:"vm"`
	Process Process `yaml:"process"`
	// Listen is the address to which the load balancer sends requests.
	Listen Text `yaml:"listen"`
	// Advertise is the address at which other entry VMs reach this listener, to
	// forward callers that resume a stream. It may be omitted if Listen is a
	// specific address.
	Advertise Text `yaml:"advertise"`
	// Control lists the addresses of the control VMs, nearest first.
	Control []Text `yaml:"control"`
	// Keys is the directory with the VM's certificate that damaskctl issued.
	Keys Text `yaml:"keys"`
	// MembersURL is the URL of the platform's membership list.
	MembersURL Text `yaml:"members_url"`
	// MembersEvery is the interval between reads of the membership list.
	MembersEvery Duration    `yaml:"members_every"`
	Audit        EntryAudit  `yaml:"audit"`
	Callers      CallerLimit `yaml:"callers"`
	// Memory is the memory that the process may use. A quarter of it may be taken by
	// heads and bodies of requests.
	Memory  Bytes   `yaml:"memory"`
	Clients Clients `yaml:"clients"`
}

// EntryAudit configures the audit writer. Whether the begin record of a request
// has to be durable before its first dispatch is set in the settings tree
// (audit.before_dispatch).
type EntryAudit struct {
	FlushAfter    Duration `yaml:"flush_after"`
	BufferRecords int      `yaml:"buffer_records"`
}

// CallerLimit limits the connections of callers.
type CallerLimit struct {
	// HeaderTimeout limits the time to read the header of a request.
	HeaderTimeout Duration `yaml:"header_timeout"`
	// IdleTimeout is the time after which a connection without a request is
	// closed.
	IdleTimeout Duration `yaml:"idle_timeout"`
	// MaxHeader is the maximum size of a request header.
	MaxHeader Bytes `yaml:"max_header"`
}

// DefaultEntry returns the default settings of an entry VM.
func DefaultEntry() *Entry {
	return &Entry{
		Process:      defaultProcess(),
		Listen:       "0.0.0.0:8080",
		MembersEvery: Duration(time.Second),
		Audit:        EntryAudit{FlushAfter: Duration(20 * time.Millisecond), BufferRecords: 1 << 16},
		Callers:      CallerLimit{HeaderTimeout: Duration(5 * time.Second), IdleTimeout: Duration(2 * time.Minute), MaxHeader: 64 << 10},
		Memory:       1 << 30,
		Clients:      defaultClients(),
	}
}

// Bounds of the settings of an entry VM.
const (
	minMembersEvery  = Duration(50 * time.Millisecond)
	maxMembersEvery  = Duration(30 * time.Second)
	minFlushAfter    = Duration(time.Millisecond)
	maxFlushAfter    = Duration(time.Second)
	minBufferRecords = 1 << 10
	maxBufferRecords = 1 << 20
	minCallerTimeout = Duration(100 * time.Millisecond)
	maxCallerTimeout = Duration(time.Hour)
	minHeader        = Bytes(1 << 10)
	maxHeader        = Bytes(1 << 20)
)

// Check reports values that are missing, invalid or contradictory.
func (e *Entry) Check() error {
	return errors.Join(
		e.VM.check(),
		e.Process.check(),
		checkListenAddr("listen", e.Listen),
		e.checkAdvertise(),
		checkControlVMs(e.Control),
		checkDirectory("keys", e.Keys),
		checkURL("members_url", e.MembersURL),
		checkRange("members_every", e.MembersEvery, minMembersEvery, maxMembersEvery),
		checkRange("audit.flush_after", e.Audit.FlushAfter, minFlushAfter, maxFlushAfter),
		checkRange("audit.buffer_records", e.Audit.BufferRecords, minBufferRecords, maxBufferRecords),
		checkRange("callers.header_timeout", e.Callers.HeaderTimeout, minCallerTimeout, maxCallerTimeout),
		checkRange("callers.idle_timeout", e.Callers.IdleTimeout, minCallerTimeout, maxCallerTimeout),
		checkRange("memory", e.Memory, minMemory, maxMemory),
		e.Clients.check(e.Memory),
		checkRange("callers.max_header", e.Callers.MaxHeader, minHeader, maxHeader),
	)
}

// checkAdvertise accepts an empty address or one that other VMs can reach.
func (e *Entry) checkAdvertise() error {
	if e.Advertise == "" {
		return nil
	}
	return checkReachableAddr("advertise", e.Advertise)
}

// checkControlVMs accepts a list of distinct addresses that other VMs can reach.
func checkControlVMs(addrs []Text) error {
	if len(addrs) == 0 {
		return newFieldError("control", "it is missing; list the control VMs' addresses, nearest first")
	}
	var errs []error
	seen := make(map[Text]bool)
	for i, a := range addrs {
		path := fmt.Sprintf("control[%d]", i)
		errs = append(errs, checkReachableAddr(path, a))
		if seen[a] {
			errs = append(errs, newFieldError(path, "%q is listed twice; list each control VM once", a))
		}
		seen[a] = true
	}
	return errors.Join(errs...)
}
