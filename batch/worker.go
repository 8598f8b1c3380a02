package batch

import "time"

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
	// roomShare is the part of the memory that results are put into. Their
	// sizes are approximate, so it shrinks when the runner had no room.
	roomShare float64
}

// result is a kept result of a worker.
type result struct {
	bytes   int64
	expires time.Time
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
	fullRoomShare  = 0.95
	leastRoomShare = 0.5
	// Each refusal for want of room takes a tenth; each good call gives a
	// hundredth back.
	roomShrink = 0.9
	roomGrow   = 1.01
)

func (w *worker) hadRoom() { w.roomShare = min(w.roomShare*roomGrow, fullRoomShare) }

func (w *worker) hadNoRoom() { w.roomShare = max(w.roomShare*roomShrink, leastRoomShare) }

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

func (w *worker) failed(now time.Time) {
	w.failures = min(w.failures+1, 5)
	avoid := min(firstAvoid<<(w.failures-1), maxAvoid)
	w.avoidUntil = now.Add(avoid)
}
