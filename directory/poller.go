package directory

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// Lister reads the complete list of runners from the platform.
type Lister interface {
	List(ctx context.Context) ([]Runner, error)
}

const (
	// pollInterval allows two polls within the time after which a draining
	// runner must get no new work, and keeps the polls of five control VMs far
	// below the platform's rate limit.
	pollInterval = 1200 * time.Millisecond
	pollTimeout  = 1500 * time.Millisecond
	maxFirstSeq  = 1 << 62
)

// poller polls the platform and keeps the newest runner list.
type poller struct {
	lister Lister
	source string
	log    *log.Logger

	// firstSeq is random, so that the first list after a restart does not get
	// the number of a list from before the restart.
	firstSeq uint64

	mu       sync.Mutex
	list     *RunnerList
	changed  chan struct{}
	polledAt time.Time
}

func newPoller(l Lister, source string, logger *log.Logger) *poller {
	return &poller{lister: l, source: source, log: logger, firstSeq: rand.Uint64N(maxFirstSeq), changed: make(chan struct{})}
}

// current returns the newest list, nil before the first poll, and a channel that
// is closed at the next change.
func (p *poller) current() (*RunnerList, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list, p.changed
}

func (p *poller) run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	failing := false
	for {
		err := p.poll(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			event := p.log.Info()
			if failing {
				event = p.log.Warn().Err(err)
			}
			event.Dur("age", time.Since(p.polledAt)).Bool("readable", !failing).Msg("directory: runner list")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *poller) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	runners, err := p.lister.List(ctx)
	if err != nil {
		return err
	}
	p.update(time.Now(), runners)
	return nil
}

func (p *poller) update(now time.Time, runners []Runner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.polledAt = now
	if p.list != nil && slices.Equal(p.list.Runners, runners) {
		return
	}
	next := &RunnerList{Source: p.source, Seq: p.firstSeq, Runners: runners}
	if p.list != nil {
		next.Seq = p.list.Seq + 1
		logListChanges(p.log, p.list.Runners, runners)
	}
	p.list = next
	close(p.changed)
	p.changed = make(chan struct{})
}

func logListChanges(logger *log.Logger, before, after []Runner) {
	old := map[string]Runner{}
	for _, r := range before {
		old[r.ID+r.Addr] = r
	}
	for _, r := range after {
		previous, listed := old[r.ID+r.Addr]
		delete(old, r.ID+r.Addr)
		if !listed || previous.Draining != r.Draining || previous.StartedUnixMS != r.StartedUnixMS {
			logger.Info().Str("runner", r.ID).Str("addr", r.Addr).Str("service", r.Service).Bool("draining", r.Draining).Bool("new", !listed).Msg("directory: runner listed")
		}
	}
	for _, r := range old {
		logger.Info().Str("runner", r.ID).Str("addr", r.Addr).Str("service", r.Service).Msg("directory: runner gone from the list")
	}
}
