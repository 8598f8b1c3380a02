package directory

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// Lister reads the platform's whole list of runners.
type Lister interface {
	List(ctx context.Context) ([]Runner, error)
}

const (
	// listPeriod leaves two readings within the time in which a leaving runner
	// must be let alone, and keeps five control VMs far under the platform's
	// rate.
	listPeriod  = 1200 * time.Millisecond
	listTimeout = 1500 * time.Millisecond
	maxFirstSeq = 1 << 62
)

// poller keeps the newest list of this control VM.
type poller struct {
	lister Lister
	source string
	log    *log.Logger

	// firstSeq is random: a control VM that has started again must not give its
	// first list the number of one that it gave before.
	firstSeq uint64

	mu      sync.Mutex
	list    *RunnerList
	changed chan struct{}
	readAt  time.Time
}

func newPoller(l Lister, source string, logger *log.Logger) *poller {
	return &poller{lister: l, source: source, log: logger, firstSeq: rand.Uint64N(maxFirstSeq), changed: make(chan struct{})}
}

// current gives the newest list, nil before the first, and a channel that is
// closed at the next change.
func (p *poller) current() (*RunnerList, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list, p.changed
}

func (p *poller) run(ctx context.Context) {
	ticker := time.NewTicker(listPeriod)
	defer ticker.Stop()
	failing := false
	for {
		err := p.read(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			event := p.log.Info()
			if failing {
				event = p.log.Warn().Err(err)
			}
			event.Dur("age", time.Since(p.readAt)).Bool("readable", !failing).Msg("directory: runner list")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *poller) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	runners, err := p.lister.List(ctx)
	if err != nil {
		return err
	}
	p.take(time.Now(), runners)
	return nil
}

func (p *poller) take(now time.Time, runners []Runner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readAt = now
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
		was, known := old[r.ID+r.Addr]
		delete(old, r.ID+r.Addr)
		if !known || was.Draining != r.Draining || was.BornUnixMS != r.BornUnixMS {
			logger.Info().Str("runner", r.ID).Str("addr", r.Addr).Str("service", r.Service).Bool("draining", r.Draining).Bool("new", !known).Msg("directory: runner listed")
		}
	}
	for _, r := range old {
		logger.Info().Str("runner", r.ID).Str("addr", r.Addr).Str("service", r.Service).Msg("directory: runner gone from the list")
	}
}
