package directory

import "github.com/phuslu/log"

// maxLoggedChanges is the number of changes of a list up to which each is
// logged. A start lists thousands of runners at once.
const maxLoggedChanges = 20

// listChange is the change of one runner between two lists.
type listChange struct {
	runner Runner
	isNew  bool
	gone   bool
}

// changesBetween returns the runners that were added, removed, restarted or are
// draining in only one of two lists.
func changesBetween(before, after []Runner) []listChange {
	old := make(map[string]Runner, len(before))
	for _, r := range before {
		old[r.ID+r.Addr] = r
	}
	var changes []listChange
	for _, r := range after {
		previous, listed := old[r.ID+r.Addr]
		delete(old, r.ID+r.Addr)
		if !listed || previous.Draining != r.Draining || previous.StartedUnixMS != r.StartedUnixMS {
			changes = append(changes, listChange{runner: r, isNew: !listed})
		}
	}
	for _, r := range old {
		changes = append(changes, listChange{runner: r, gone: true})
	}
	return changes
}

// logListChanges logs the differences between two lists of runners.
func logListChanges(logger *log.Logger, before, after []Runner) {
	changes := changesBetween(before, after)
	if len(changes) > maxLoggedChanges {
		logger.Info().Int("changes", len(changes)).Int("before", len(before)).Int("runners", len(after)).Msg("directory: runner list changed")
		return
	}
	for i := range changes {
		c := &changes[i]
		event := logger.Info().Str("runner", c.runner.ID).Str("addr", c.runner.Addr).Str("service", c.runner.Service)
		if c.gone {
			event.Msg("directory: runner gone from the list")
			continue
		}
		event.Bool("draining", c.runner.Draining).Bool("new", c.isNew).Msg("directory: runner listed")
	}
}
