package directory

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"damaskbridge.example/damaskbridge/internal/timer"
)

// Lister reads the platform's list of runners.
type Lister interface {
	// List returns the runners of a data centre, or all runners for the data
	// centre "".
	List(ctx context.Context, zone string) ([]Runner, error)
	// Ping returns the round-trip time of one call for the first part of that
	// list.
	Ping(ctx context.Context, zone string) (time.Duration, error)
}

const (
	// readTick is how often the turns are checked.
	readTick = 300 * time.Millisecond
	// readTimeout is shorter than the time after which another control VM takes
	// over.
	readTimeout = 2500 * time.Millisecond
	// pingInterval is the time between two measurements of the round-trip time.
	pingInterval = 30 * time.Second
	// roundTripStep is the resolution at which round-trip times are reported, so
	// that jitter does not change the order.
	roundTripStep = 5 * time.Millisecond
)

// controlVM is what a control VM reports to the others about itself.
type controlVM struct {
	Addr string `cbor:"1,keyasint"`
	// ListRoundTripMS is the round-trip time to the platform's list, in ms.
	ListRoundTripMS int64 `cbor:"2,keyasint"`
}

// reader reads the platform's list for the data centres whose turn it is.
type reader struct {
	lister  Lister
	lists   *lists
	self    string
	members func() []string
	log     *log.Logger
	// pingZone is the data centre whose list is used for measurements.
	pingZone string

	mu    sync.Mutex
	zones map[string]*zoneReading
}

// zoneReading is the state of reading one data centre.
type zoneReading struct {
	// asOf is as of when the list was current, as known when it last made progress;
	// progressAt is when that was.
	asOf       time.Time
	progressAt time.Time
	triedAt    time.Time
	reading    bool
	failing    bool
}

func newReader(o *ServerOptions, l *lists) *reader {
	r := &reader{lister: o.Lister, lists: l, self: o.Self, members: o.Control.Members, log: o.Logger, pingZone: o.Zones[0], zones: map[string]*zoneReading{}}
	for _, zone := range o.Zones {
		r.zones[zone] = &zoneReading{progressAt: time.Now()}
	}
	return r
}

func (r *reader) run(ctx context.Context) {
	ticker := time.NewTicker(readTick)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	calls.Go(func() { r.runPings(ctx) })
	for {
		for _, zone := range r.dueZones(time.Now()) {
			calls.Go(func() { r.read(ctx, zone) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// runPings reports to the other control VMs how far the list is from here.
func (r *reader) runPings(ctx context.Context) {
	for ctx.Err() == nil {
		pause := pingInterval
		if err := r.ping(ctx); err != nil {
			// This VM counts as far from the list until a call succeeds.
			r.log.Debug().Err(err).Msg("directory: distance to the runner list")
			pause = readInterval
		}
		timer.Sleep(ctx, pause)
	}
}

func (r *reader) ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rtt, err := r.lister.Ping(ctx, r.pingZone)
	if err != nil {
		return err
	}
	self := controlVM{Addr: r.self, ListRoundTripMS: rtt.Round(roundTripStep).Milliseconds()}
	r.lists.put(controlsPrefix+r.self, time.Now(), encodeSet([]controlVM{self}))
	return nil
}

// dueZones returns the data centres that this VM has to read now, and counts
// them as being read.
func (r *reader) dueZones(now time.Time) []string {
	members, roundTrips := r.members(), r.lists.roundTrips()
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []string
	for zone, z := range r.zones {
		if asOf := r.lists.asOf(runnersPrefix + zone); asOf.Sub(z.asOf) >= minProgress {
			z.asOf, z.progressAt = asOf, now
		}
		t := turn{
			rank:    rankIn(readingOrder(zone, members, roundTrips), r.self),
			hasList: !z.asOf.IsZero(), progressAt: z.progressAt, triedAt: z.triedAt,
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
