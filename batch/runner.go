package batch

import (
	"strconv"
	"time"
)

// Runner identifies a runner of the service.
type Runner struct {
	ID   string
	Addr string
	// Draining runners get no new calls.
	Draining bool
	// PausedUntil is until when the runner wants no calls; zero if it may get some.
	PausedUntil time.Time
}

// runnerState is the assembler's view of one runner.
type runnerState struct {
	Runner
	inFlight int
	// expectedEnd is when the latest call is expected to end.
	expectedEnd time.Time
	// usedBytes is the memory accounted for results and for calls in flight.
	usedBytes int64
	results   map[string]retainedResult
	// Until backoffUntil the runner gets no calls; failures counts consecutive
	// failures.
	backoffUntil time.Time
	failures     int
	lastUsed     time.Time
	// unaccountedCount numbers the entries of addUnaccounted in results.
	unaccountedCount int
	// endedOnTime is true if the latest call ended within the expected time. If
	// two VMs use a runner, a call may have to wait for one of the other VM.
	endedOnTime bool
	// maxResultBytes is the size of the largest result in the latest call.
	maxResultBytes int64
}

// retainedResult is a result that a runner holds or may hold.
type retainedResult struct {
	bytes   int64
	expires time.Time
	// freed results use no memory; they are kept to ignore a second free.
	freed bool
}

const (
	// initialBackoff is the backoff after a runner's first failure. It doubles
	// with each consecutive failure up to maxBackoff.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// refusedBackoff is the backoff after a runner refused a call because it was
	// full.
	refusedBackoff = 100 * time.Millisecond
)

const (
	// usableMemoryFraction leaves a margin because result sizes are approximate.
	usableMemoryFraction = 0.95
	// unaccountedRetention is how long memory counts as used after a runner was
	// unexpectedly out of memory, for instance because it holds results for a VM
	// that no longer runs.
	unaccountedRetention = time.Second
)

// addUnaccounted counts memory as used that the runner turned out not to have.
func (rs *runnerState) addUnaccounted(now time.Time, bytes int64) {
	rs.unaccountedCount++
	rs.usedBytes += bytes
	rs.results["unknown "+strconv.Itoa(rs.unaccountedCount)] = retainedResult{bytes: bytes, expires: now.Add(unaccountedRetention)}
}

// onTimeTolerance is how much later than expected a call may end and still count
// as ended on time.
const onTimeTolerance = 100 * time.Millisecond

// updateEndedOnTime sets endedOnTime from the result of a call.
func (rs *runnerState) updateEndedOnTime(now time.Time, r CallResult) {
	rs.endedOnTime = !r.Lost && !r.Refused && !now.After(rs.expectedEnd.Add(onTimeTolerance))
}

func (rs *runnerState) usable(now time.Time, slots int) bool {
	return rs.inFlight < slots && rs.mayBeCalled(now)
}

// mayBeCalled reports whether the runner gets new calls once it has a free slot.
func (rs *runnerState) mayBeCalled(now time.Time) bool {
	return !rs.Draining && !now.Before(rs.availableAt())
}

// availableAt returns the end of the runner's backoff and of the pause that it has
// asked for.
func (rs *runnerState) availableAt() time.Time {
	if rs.PausedUntil.After(rs.backoffUntil) {
		return rs.PausedUntil
	}
	return rs.backoffUntil
}

// releaseExpired removes results that the runner has dropped by now.
func (rs *runnerState) releaseExpired(now time.Time) {
	for handle, r := range rs.results {
		if now.After(r.expires) {
			rs.forget(handle)
		}
	}
}

func (rs *runnerState) forget(handle string) {
	if r, ok := rs.results[handle]; ok {
		rs.usedBytes -= r.bytes
		delete(rs.results, handle)
	}
}

// markFreed records that the runner has dropped a result before the items that
// use it have ended.
func (rs *runnerState) markFreed(handle string) {
	if r, ok := rs.results[handle]; ok && !r.freed {
		rs.usedBytes -= r.bytes
		rs.results[handle] = retainedResult{expires: r.expires, freed: true}
	}
}

// backOff excludes the runner from new calls for a time that doubles with each
// failure in a row.
func (rs *runnerState) backOff(now time.Time) {
	rs.failures = min(rs.failures+1, 5)
	delay := min(initialBackoff<<(rs.failures-1), maxBackoff)
	rs.backoffUntil = now.Add(delay)
}
