package gateway

import (
	"slices"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/directory"
	"damaskbridge.example/damaskbridge/placement"
)

// runners is the book of runners with its lock.
type runners struct {
	places placement.Places
	// leaveAfter is how long a leaving runner is still used if no other one of
	// its service is left.
	leaveAfter time.Duration

	mu   sync.Mutex
	book *placement.Book
	// byService are the listed runners; slots and drains go by their ID.
	byService map[string][]listed
}

type listed struct {
	directory.Runner
	entry *placement.Entry
	// drainSeen is when the runner was first seen to leave.
	drainSeen time.Time
}

func newRunners(places placement.Places, leaveAfter time.Duration) *runners {
	return &runners{places: places, leaveAfter: leaveAfter, book: placement.NewBook(), byService: map[string][]listed{}}
}

// take replaces the list.
func (r *runners) take(now time.Time, list *directory.RunnerList) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := map[*placement.Entry]listed{}
	for _, l := range r.byService {
		for _, x := range l {
			old[x.entry] = x
		}
	}
	next := map[string][]listed{}
	known := map[string]bool{}
	for _, x := range list.Runners {
		e := r.book.Entry(x.ID, x.Addr, x.Zone)
		was, ok := old[e]
		if ok && was.BornUnixMS != x.BornUnixMS {
			e.Restarted()
		}
		item := listed{Runner: x, entry: e, drainSeen: was.drainSeen}
		if x.Draining && item.drainSeen.IsZero() {
			item.drainSeen = now
		}
		next[x.Service] = append(next[x.Service], item)
		known[x.ID+" "+x.Addr] = true
	}
	r.byService = next
	r.book.Retain(func(id, addr string) bool { return known[id+" "+addr] })
}

// ready gives the entries that may get a request, without those in tried. A
// leaving runner is used only while no other is listed, and not for long.
func (r *runners) ready(now time.Time, service string, tried []*placement.Entry) []*placement.Entry {
	var ready, leaving []*placement.Entry
	for _, l := range r.byService[service] {
		switch {
		case slices.Contains(tried, l.entry):
		case !l.Draining:
			ready = append(ready, l.entry)
		case now.Sub(l.drainSeen) < r.leaveAfter:
			leaving = append(leaving, l.entry)
		}
	}
	if len(ready) > 0 || len(tried) > 0 {
		return ready
	}
	return leaving
}

// pickEngine chooses a runner for a prompt and counts the request there.
// It also gives the address of another runner that may keep shared parts of the
// prompt, "" if there is none.
func (r *runners) pickEngine(now time.Time, service string, p *placement.Prompt, tried []*placement.Entry) (e *placement.Entry, fetchFrom string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.ready(now, service, tried)
	e = placement.PickEngine(now, list, p, &r.places)
	if e == nil {
		return nil, ""
	}
	if source := placement.FetchFrom(now, list, e, p); source != nil {
		fetchFrom = source.Addr
	}
	e.Active++
	e.Prefilling += p.Tokens
	e.Keep(now, p)
	return e, fetchFrom
}

// pickPlain chooses a runner for a plain call and counts the request there.
func (r *runners) pickPlain(now time.Time, service string, tried []*placement.Entry) *placement.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	slots := map[*placement.Entry]int{}
	for _, l := range r.byService[service] {
		slots[l.entry] = l.Slots
	}
	e := placement.PickPlain(now, r.ready(now, service, tried), func(e *placement.Entry) int { return slots[e] }, &r.places)
	if e != nil {
		e.Active++
	}
	return e
}

// prefilled notes that a prompt was read.
func (r *runners) prefilled(e *placement.Entry, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Prefilling -= tokens
}

// done takes a request off a runner and notes how it went.
func (r *runners) done(e *placement.Entry, note func(*placement.Entry)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Active--
	if note != nil {
		note(e)
	}
}

// told notes the load that a runner tells.
func (r *runners) told(e *placement.Entry, load *placement.Load) {
	if load == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Load = *load
}

// isQueueing says whether requests wait at a runner, as far as is known.
func (r *runners) isQueueing(now time.Time, e *placement.Entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return e.Queueing(now)
}

// stageRunners gives the runners of a stage's service in a zone.
func (r *runners) stageRunners(service, zone string) []directory.Runner {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []directory.Runner
	for _, l := range r.byService[service] {
		if l.Zone == zone {
			list = append(list, l.Runner)
		}
	}
	return list
}

// homeZone gives the zone whose runners of a service this VM uses: its own, one
// of its region, or the one that every VM without a nearer one chooses.
func (r *runners) homeZone(service string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	byDistance := map[placement.Distance][]string{}
	for _, l := range r.byService[service] {
		if l.Draining {
			continue
		}
		d := r.places.To(l.Zone)
		if !slices.Contains(byDistance[d], l.Zone) {
			byDistance[d] = append(byDistance[d], l.Zone)
		}
	}
	for _, d := range []placement.Distance{placement.SameZone, placement.SameRegion, placement.OtherRegion} {
		if zones := byDistance[d]; len(zones) > 0 {
			return placement.Highest(service, zones)
		}
	}
	return ""
}
