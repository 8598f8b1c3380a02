package directory

import (
	"time"

	"damaskbridge.example/damaskbridge/placement"
	"damaskbridge.example/damaskbridge/warmup"
)

// grantsAfterEvacuation is how long the runners of a data centre are granted after
// the end of its evacuation. They may have become cold shortly before.
const grantsAfterEvacuation = 10 * time.Second

// warmUpGranter is the state with which a control VM grants runners that warm up. The
// zero value knows nothing.
type warmUpGranter struct {
	// allocator is nil while this VM does not lead.
	allocator  *warmup.Allocator
	leadsSince time.Time
	// endings holds, by data centre, the ending of an evacuation that was seen last
	// and when that was.
	endings map[string]evacuationEnding
}

type evacuationEnding struct {
	unixMS int64
	seenAt time.Time
}

// grantWarmUps publishes which entry VM may use which runner that warms up.
// leadsSince is zero if this VM does not lead.
func (s *Server) grantWarmUps(now, leadsSince time.Time) {
	w := &s.warmUps
	w.observeEndings(now, s)
	if leadsSince.IsZero() {
		w.allocator = nil
		return
	}
	if w.allocator == nil || !w.leadsSince.Equal(leadsSince) {
		w.allocator, w.leadsSince = warmup.NewAllocator(leadsSince), leadsSince
	}
	age := s.opts.Control.ConfirmationAge(now)
	if age < 0 {
		return
	}
	cold, zones := w.coldProcesses(now, s.lists.runners())
	if len(cold) == 0 && !s.lists.has(warmUpsName) {
		return
	}
	entries := s.lists.entries()
	grants := w.allocator.Assign(now.Add(-age), cold,
		func(process string) string { return chooseHolder(entries, process, zones[process]) },
		func(vm string) bool { return isPresent(entries, vm) })
	if _, changed := s.lists.put(warmUpsName, now.Add(-age), encodeSet(grants)); changed {
		s.opts.Logger.Info().Int("cold", len(cold)).Int("granted", len(grants)).Msg("directory: grants of runners that warm up")
	}
}

// observeEndings records the endings of evacuations.
func (w *warmUpGranter) observeEndings(now time.Time, s *Server) {
	table := s.opts.Control.Evacuations()
	if table == nil {
		return
	}
	if w.endings == nil {
		w.endings = map[string]evacuationEnding{}
	}
	for _, z := range table.Zones {
		if w.endings[z.Name].unixMS != z.EndedUnixMS {
			w.endings[z.Name] = evacuationEnding{unixMS: z.EndedUnixMS, seenAt: now}
		}
	}
}

// coldProcesses returns the processes of the runners that may be cold, and their data
// centres.
func (w *warmUpGranter) coldProcesses(now time.Time, runners []Runner) (processes []string, zones map[string]string) {
	zones = map[string]string{}
	for i := range runners {
		r := &runners[i]
		ending, ended := w.endings[r.Zone]
		if r.WarmupLeftMS == 0 && !(ended && now.Sub(ending.seenAt) < grantsAfterEvacuation) {
			continue
		}
		process := r.Process()
		processes = append(processes, process)
		zones[process] = r.Zone
	}
	return processes, zones
}

// chooseHolder returns the entry VM that is to use a process of a runner: one of its
// data centre, or any if there is none.
func chooseHolder(entries []EntryVM, process, zone string) string {
	var near, all []string
	for _, e := range entries {
		if e.Draining {
			continue
		}
		all = append(all, e.Addr)
		if e.Zone == zone {
			near = append(near, e.Addr)
		}
	}
	if len(near) > 0 {
		all = near
	}
	if len(all) == 0 {
		return ""
	}
	return placement.PickRendezvous(process, all)
}

func isPresent(entries []EntryVM, vm string) bool {
	for _, e := range entries {
		if e.Addr == vm {
			return !e.Draining
		}
	}
	return false
}
