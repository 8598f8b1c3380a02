package directory

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// Lister reads the runners of a data centre from the platform, or all runners
// for the data centre "".
type Lister interface {
	List(ctx context.Context, zone string) ([]Runner, error)
}

const (
	// readTick is how often the turns are checked.
	readTick    = 300 * time.Millisecond
	readTimeout = 1500 * time.Millisecond
)

// reader reads the platform's list for the data centres whose turn it is.
type reader struct {
	lister  Lister
	lists   *lists
	self    string
	members func() []string
	log     *log.Logger

	mu        sync.Mutex
	startedAt time.Time
	zones     map[string]*zoneReading
}

// zoneReading is the state of reading one data centre.
type zoneReading struct {
	triedAt time.Time
	reading bool
	failing bool
}

func newReader(o *ServerOptions, l *lists) *reader {
	r := &reader{lister: o.Lister, lists: l, self: o.Self, members: o.Control.Members, log: o.Logger, zones: map[string]*zoneReading{}}
	for _, zone := range o.Zones {
		r.zones[zone] = &zoneReading{}
	}
	return r
}

func (r *reader) run(ctx context.Context) {
	r.mu.Lock()
	r.startedAt = time.Now()
	r.mu.Unlock()
	ticker := time.NewTicker(readTick)
	defer ticker.Stop()
	var readings sync.WaitGroup
	defer readings.Wait()
	for {
		for _, zone := range r.dueZones(time.Now()) {
			readings.Go(func() { r.read(ctx, zone) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// dueZones returns the data centres that this VM has to read now, and counts
// them as being read.
func (r *reader) dueZones(now time.Time) []string {
	members := r.members()
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []string
	for zone, z := range r.zones {
		t := turn{
			rank: rankOf(r.self, zone, members), asOf: r.lists.asOf(runnersPrefix + zone),
			triedAt: z.triedAt, startedAt: r.startedAt,
		}
		if z.reading || !t.due(now) {
			continue
		}
		z.reading, z.triedAt = true, now
		due = append(due, zone)
	}
	return due
}

func (r *reader) read(ctx context.Context, zone string) {
	began := time.Now()
	err := r.readZone(ctx, zone)
	r.mu.Lock()
	defer r.mu.Unlock()
	z := r.zones[zone]
	z.reading = false
	if ctx.Err() != nil || (err != nil) == z.failing {
		return
	}
	z.failing = err != nil
	event := r.log.Info()
	if z.failing {
		event = r.log.Warn().Err(err)
	}
	event.Str("zone", zone).Dur("age", began.Sub(r.lists.asOf(runnersPrefix+zone))).Bool("readable", !z.failing).Msg("directory: runner list")
}

// readZone reads the runners of a data centre. The list is as of the beginning
// of the reading.
func (r *reader) readZone(ctx context.Context, zone string) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := time.Now()
	runners, err := r.lister.List(ctx, zone)
	if err != nil {
		return err
	}
	if zone != "" {
		runners = slices.DeleteFunc(runners, func(x Runner) bool { return x.Zone != zone })
	}
	before, changed := r.lists.put(runnersPrefix+zone, began, encodeSet(runners))
	if changed && before != nil {
		old, err := decodeSet[Runner](before)
		if err != nil {
			return err
		}
		logListChanges(r.log, old, runners)
	}
	return nil
}

// complete reports whether the runners of every data centre are known.
func (r *reader) complete() bool {
	for zone := range r.zones {
		if r.lists.asOf(runnersPrefix + zone).IsZero() {
			return false
		}
	}
	return true
}
