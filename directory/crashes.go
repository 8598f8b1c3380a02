package directory

import (
	"time"

	"github.com/phuslu/log"

	"damaskbridge.example/damaskbridge/quarantine"
)

// crashReport is what one entry VM has observed of crashed runners, or which parts
// a control VM has kept as quarantined.
type crashReport struct {
	VM     string            `cbor:"1,keyasint"`
	Report quarantine.Report `cbor:"2,keyasint"`
}

// detectBadParts decides about the quarantine while this control VM leads. A new
// leader continues its predecessor's quarantine. It belongs to the goroutine of
// runRoster.
func (s *Server) detectBadParts(now time.Time) {
	if s.detector == nil {
		s.detector = quarantine.NewDetector(now, s.lists.quarantined())
	}
	changes := s.detector.Update(now, s.lists.crashReports(now.Add(-rosterExpiry)), s.lists.servingEntries())
	for _, c := range changes {
		logQuarantine(s.opts.Logger, &c)
	}
	list := s.detector.Quarantined()
	if len(list) > 0 || s.lists.has(quarantineName) {
		s.lists.put(quarantineName, now, encodeSet(list))
	}
}

func logQuarantine(logger *log.Logger, c *quarantine.Change) {
	if c.Trial.VM != "" {
		logger.Info().Uint64("part", uint64(c.Part)).Uint32("number", c.Trial.Number).Str("vm", c.Trial.VM).Int("crashes", c.Crashes).
			Msg("directory: trial of a quarantined prompt part")
		return
	}
	logger.Warn().Uint64("part", uint64(c.Part)).Bool("quarantined", c.Quarantined).Int("crashes", c.Crashes).
		Msg("directory: quarantine of a prompt part")
}

// crashReports returns the reports of the entry VMs that control VMs have
// confirmed since a time.
func (l *lists) crashReports(since time.Time) []*quarantine.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*quarantine.Report
	for _, name := range namesWith(l.store, crashesPrefix) {
		set, asOf := l.store.Get(name)
		if asOf.Before(since) {
			continue
		}
		list, err := decodeSet[crashReport](set)
		if err != nil {
			// The VM runs a release whose reports this one cannot read.
			continue
		}
		for i := range list {
			all = append(all, &list[i].Report)
		}
	}
	return all
}

// quarantined returns the quarantined parts.
func (l *lists) quarantined() []quarantine.Quarantined {
	l.mu.Lock()
	defer l.mu.Unlock()
	set, _ := l.store.Get(quarantineName)
	list, err := decodeSet[quarantine.Quarantined](set)
	if err != nil {
		// The set comes from a later release, which decides again.
		return nil
	}
	return list
}

// servingEntries returns the addresses of the entry VMs that take requests, sorted.
func (l *lists) servingEntries() []string {
	var addrs []string
	for _, vm := range l.entries() {
		if !vm.Draining {
			addrs = append(addrs, vm.Addr)
		}
	}
	return addrs
}
