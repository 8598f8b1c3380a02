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
	// Listen is where the load balancer sends callers' requests.
	Listen Text `yaml:"listen"`
	// Advertise is the address at which other entry VMs reach this one's
	// listener, to pass on callers that resume a stream. It may be left out if
	// listen names one address.
	Advertise Text `yaml:"advertise"`
	// Control lists the control VMs, nearest first.
	Control []Text `yaml:"control"`
	// Keys is the folder with the VM's certificate, as damaskctl wrote it.
	Keys Text `yaml:"keys"`
	// MembersURL is the platform's membership list.
	MembersURL Text `yaml:"members_url"`
	// MembersEvery is how often the membership list is read.
	MembersEvery Duration    `yaml:"members_every"`
	Audit        EntryAudit  `yaml:"audit"`
	Callers      CallerLimit `yaml:"callers"`
}

// EntryAudit configures the audit writer. Whether a request's begin has to be
// durable before its first dispatch is a value of the settings tree.
type EntryAudit struct {
	FlushAfter    Duration `yaml:"flush_after"`
	BufferRecords int      `yaml:"buffer_records"`
}

// CallerLimit bounds the connections of callers.
type CallerLimit struct {
	// HeaderTimeout bounds the reading of a request's header.
	HeaderTimeout Duration `yaml:"header_timeout"`
	// IdleTimeout closes a caller's connection without a request.
	IdleTimeout Duration `yaml:"idle_timeout"`
	// MaxHeader is the largest header of a request.
	MaxHeader Bytes `yaml:"max_header"`
}

// DefaultEntry gives the defaults.
func DefaultEntry() *Entry {
	return &Entry{
		Process:      defaultProcess(),
		Listen:       "0.0.0.0:8080",
		MembersEvery: Duration(time.Second),
		Audit:        EntryAudit{FlushAfter: Duration(20 * time.Millisecond), BufferRecords: 1 << 16},
		Callers:      CallerLimit{HeaderTimeout: Duration(5 * time.Second), IdleTimeout: Duration(2 * time.Minute), MaxHeader: 64 << 10},
	}
}

// Bounds of an entry VM's settings.
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

// Check rejects values that cannot work.
func (e *Entry) Check() error {
	return errors.Join(
		e.VM.check(),
		e.Process.check(),
		checkListen("listen", e.Listen),
		e.checkAdvertise(),
		checkControlAddrs(e.Control),
		checkFolder("keys", e.Keys),
		checkURL("members_url", e.MembersURL),
		checkRange("members_every", e.MembersEvery, minMembersEvery, maxMembersEvery),
		checkRange("audit.flush_after", e.Audit.FlushAfter, minFlushAfter, maxFlushAfter),
		checkRange("audit.buffer_records", e.Audit.BufferRecords, minBufferRecords, maxBufferRecords),
		checkRange("callers.header_timeout", e.Callers.HeaderTimeout, minCallerTimeout, maxCallerTimeout),
		checkRange("callers.idle_timeout", e.Callers.IdleTimeout, minCallerTimeout, maxCallerTimeout),
		checkRange("callers.max_header", e.Callers.MaxHeader, minHeader, maxHeader),
	)
}

// checkAdvertise accepts an empty or a callable address.
func (e *Entry) checkAdvertise() error {
	if e.Advertise == "" {
		return nil
	}
	return checkAddr("advertise", e.Advertise)
}

// checkControlAddrs accepts a list of different callable addresses.
func checkControlAddrs(addrs []Text) error {
	if len(addrs) == 0 {
		return field("control", "it is missing; list the control VMs' addresses, nearest first")
	}
	var errs []error
	seen := make(map[Text]bool)
	for i, a := range addrs {
		path := fmt.Sprintf("control[%d]", i)
		errs = append(errs, checkAddr(path, a))
		if seen[a] {
			errs = append(errs, field(path, "%q is listed twice; list each control VM once", a))
		}
		seen[a] = true
	}
	return errors.Join(errs...)
}
