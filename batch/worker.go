package batch

import (
	"strconv"
	"time"
)

// Worker is a runner of the service.
type Worker struct {
	ID   string
	Addr string
	// Draining runners take no new calls.
	Draining bool
}

// worker is what the assembler keeps of a runner.
type worker struct {
	Worker
	calls int
	// freeAt is when the newest call is expected to end.
	freeAt time.Time
	// room is the memory that results and calls under way take.
	room    int64
	results map[string]result
	// avoidUntil keeps calls away after a failure; failures is the number of
	// failures in a row.
	avoidUntil time.Time
	failures   int
	lastUsed   time.Time
	// unknown counts the refusals for want of room.
	unknown int
	// prompt says that the newest call ended when it was expected to. A runner
	// that two VMs use works on a call only after the other VM's.
	prompt bool
	// resultBytes is the size of the largest result in the newest call.
	resultBytes int64
}

// result is a kept result of a worker.
type result struct {
	bytes   int64
	expires time.Time
	// freed results take no memory; they are remembered so that they are not
	// freed again.
	freed bool
}

const (
	// firstAvoid is how long a runner is let alone after its first failure;
	// it doubles with each further one up to maxAvoid.
	firstAvoid = 500 * time.Millisecond
	maxAvoid   = 4 * time.Second
	// fullAvoid is the pause after a runner said that it is full.
	fullAvoid = 100 * time.Millisecond
)

const (
	// roomShare is the part of the memory that results are put into, because
	// their sizes are approximate.
	roomShare = 0.95
	// unknownFor is how long memory counts as taken that a runner did not have,
	// for instance because of results that a VM which has ended had made.
	unknownFor = time.Second
)

// hadNoRoom counts memory as taken that the runner did not have.
func (w *worker) hadNoRoom(now time.Time, bytes int64) {
	w.unknown++
	w.room += bytes
	w.results["unknown "+strconv.Itoa(w.unknown)] = result{bytes: bytes, expires: now.Add(unknownFor)}
}

// promptGrace is how much later than expected the call of a runner may end that
// worked on it at once.
const promptGrace = 100 * time.Millisecond

func (w *worker) notePrompt(now time.Time, r CallResult) {
	w.prompt = !r.Lost && !r.Refused && !now.After(w.freeAt.Add(promptGrace))
}

func (w *worker) usable(now time.Time, slots int) bool {
	return !w.Draining && w.calls < slots && !now.Before(w.avoidUntil)
}

// release forgets results whose time is over.
func (w *worker) release(now time.Time) {
	for handle, r := range w.results {
		if now.After(r.expires) {
			w.forget(handle)
		}
	}
}

func (w *worker) forget(handle string) {
	if r, ok := w.results[handle]; ok {
		w.room -= r.bytes
		delete(w.results, handle)
	}
}

// free notes that the runner has dropped a result before its user has ended.
func (w *worker) free(handle string) {
	if r, ok := w.results[handle]; ok && !r.freed {
		w.room -= r.bytes
		w.results[handle] = result{expires: r.expires, freed: true}
	}
}

func (w *worker) failed(now time.Time) {
	w.failures = min(w.failures+1, 5)
	avoid := min(firstAvoid<<(w.failures-1), maxAvoid)
	w.avoidUntil = now.Add(avoid)
}
