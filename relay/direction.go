package relay

import (
	"sync"
	"time"
)

// Direction is one direction of the link between two regions. All relays of
// the same pair share it. It is safe for concurrent use.
type Direction struct {
	mu             sync.Mutex
	delay          time.Duration
	bytesPerSecond int64
	// busyUntil is when the bytes sent so far have left, with a bandwidth.
	busyUntil time.Time
	cut       bool
	// change is closed and replaced when the direction is cut or restored.
	change chan struct{}
	bytes  int64
	drops  int64
}

func newDirection() *Direction {
	return &Direction{change: make(chan struct{})}
}

// SetDelay sets the one-way delay of what is sent from now on.
func (d *Direction) SetDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// SetBandwidth sets the bytes per second; 0 means no limit.
func (d *Direction) SetBandwidth(bytesPerSecond int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bytesPerSecond = bytesPerSecond
}

// Cut stops the direction silently: packets are lost, and the bytes and ends
// of TCP connections are held back until Restore.
func (d *Direction) Cut() { d.setCut(true) }

// Restore ends a cut.
func (d *Direction) Restore() { d.setCut(false) }

// IsCut says whether the direction is cut.
func (d *Direction) IsCut() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cut
}

func (d *Direction) setCut(cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cut == cut {
		return
	}
	d.cut = cut
	close(d.change)
	d.change = make(chan struct{})
}

// Bytes gives the payload bytes that the link has carried to its end.
func (d *Direction) Bytes() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bytes
}

// Drops gives the UDP packets that were lost.
func (d *Direction) Drops() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drops
}

// due gives the time at which n bytes sent now arrive.
func (d *Direction) due(now time.Time, n int) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	sent := now
	if d.bytesPerSecond > 0 {
		if d.busyUntil.After(now) {
			sent = d.busyUntil
		}
		sent = sent.Add(time.Duration(n) * time.Second / time.Duration(d.bytesPerSecond))
		d.busyUntil = sent
	}
	return sent.Add(d.delay)
}

// await waits while the direction is cut. It is false if stop was closed.
func (d *Direction) await(stop <-chan struct{}) bool {
	for {
		d.mu.Lock()
		cut, change := d.cut, d.change
		d.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-change:
		case <-stop:
			return false
		}
	}
}

// lost counts a packet as dropped if the direction is cut.
func (d *Direction) lost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cut {
		d.drops++
	}
	return d.cut
}

func (d *Direction) arrived(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bytes += int64(n)
}

func (d *Direction) drop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drops++
}

// waitUntil waits for a time. It is false if stop was closed.
func waitUntil(at time.Time, stop <-chan struct{}) bool {
	d := time.Until(at)
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-stop:
		return false
	}
}
