package relay

import (
	"sync"
	"time"
)

// Direction is one direction of the simulated link between two regions. All
// relays between these regions share it. It is safe for concurrent use.
type Direction struct {
	mu             sync.Mutex
	delay          time.Duration
	bytesPerSecond int64
	// busyUntil is when the last byte sent so far has been transmitted. It is
	// used only with a limited bandwidth.
	busyUntil time.Time
	cut       bool
	// cutChanged is closed and replaced whenever cut changes.
	cutChanged chan struct{}
	bytes      int64
	drops      int64
}

func newDirection() *Direction {
	return &Direction{cutChanged: make(chan struct{})}
}

// SetDelay sets the one-way delay of subsequent traffic.
func (d *Direction) SetDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// SetBandwidth sets the bandwidth in bytes per second; 0 means no limit.
func (d *Direction) SetBandwidth(bytesPerSecond int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bytesPerSecond = bytesPerSecond
}

// Cut interrupts the direction without an error on any connection: UDP packets
// are lost, and TCP data and closes are held back until Restore.
func (d *Direction) Cut() { d.setCut(true) }

// Restore ends a cut.
func (d *Direction) Restore() { d.setCut(false) }

// IsCut reports whether the direction is cut.
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
	close(d.cutChanged)
	d.cutChanged = make(chan struct{})
}

// Bytes returns the number of payload bytes delivered.
func (d *Direction) Bytes() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bytes
}

// Drops returns the number of UDP packets lost.
func (d *Direction) Drops() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drops
}

// arrivalTime returns when the last of n bytes sent now arrives, and reserves
// the bandwidth for them.
func (d *Direction) arrivalTime(now time.Time, n int) time.Time {
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

// waitWhileCut blocks while the direction is cut. It returns false if stop is
// closed meanwhile.
func (d *Direction) waitWhileCut(stop <-chan struct{}) bool {
	for {
		d.mu.Lock()
		cut, change := d.cut, d.cutChanged
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

// dropIfCut reports whether the direction is cut, and if so counts a dropped
// packet.
func (d *Direction) dropIfCut() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cut {
		d.drops++
	}
	return d.cut
}

func (d *Direction) addBytes(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bytes += int64(n)
}

func (d *Direction) addDrop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drops++
}

// sleepUntil blocks until the given time. It returns false if stop is closed
// before.
func sleepUntil(at time.Time, stop <-chan struct{}) bool {
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
