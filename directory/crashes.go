package directory

import (
	"time"

	"damaskbridge.example/damaskbridge/quarantine"
)

// crashReport is what one entry VM has observed of crashed runners.
type crashReport struct {
	VM     string            `cbor:"1,keyasint"`
	Report quarantine.Report `cbor:"2,keyasint"`
}

// quarantinedPart is a part of prompts that is kept away from runners.
type quarantinedPart struct {
	Part quarantine.Part `cbor:"1,keyasint"`
}

// detectBadParts decides about the quarantine while this control VM leads. A new
// leader continues its predecessor's quarantine. It belongs to the goroutine of
// runRoster.
func (s *Server) detectBadParts(now time.Time) {
	if s.detector == nil {
		s.detector = quarantine.NewDetector(now, s.lists.quarantined())
	}
	changes := s.detector.Update(now, s.lists.crashReports(now.Add(-rosterExpiry)))
	for _, c := range changes {
		s.opts.Logger.Warn().Uint64("part", uint64(c.Part)).Bool("quarantined", c.Quarantined).Int("crashes", c.Crashes).
			Msg("directory: quarantine of a prompt part")
	}
	var list []quarantinedPart
	for _, p := range s.detector.Quarantined() {
		list = append(list, quarantinedPart{Part: p})
	}
	if len(list) > 0 || s.lists.has(quarantineName) {
		s.lists.put(quarantineName, now, encodeSet(list))
	}
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
func (l *lists) quarantined() []quarantine.Part {
	l.mu.Lock()
	defer l.mu.Unlock()
	set, _ := l.store.Get(quarantineName)
	list, err := decodeSet[quarantinedPart](set)
	if err != nil {
		// The set comes from a later release, which decides again.
		return nil
	}
	parts := make([]quarantine.Part, 0, len(list))
	for _, p := range list {
		parts = append(parts, p.Part)
	}
	return parts
}
