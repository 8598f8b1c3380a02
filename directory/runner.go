package directory

import "strconv"

// Runner is one address of an upstream as listed by the platform.
type Runner struct {
	// ID usually identifies one start of the process, but a process may also
	// restart under its old ID.
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	// Addr has the form "ip:port".
	Addr string `cbor:"3,keyasint"`
	// Zone is the data centre of the runner.
	Zone string `cbor:"4,keyasint"`
	// Slots is the number of requests that the runner processes concurrently.
	Slots int `cbor:"5,keyasint"`
	// Draining is true if the runner is stopping and takes no new work.
	Draining bool `cbor:"6,keyasint,omitempty"`
	// WarmupLeftMS is the remaining time of the slow phase after the start in ms,
	// rounded up. It is 0 where nothing limits runners that warm up.
	WarmupLeftMS int64 `cbor:"7,keyasint,omitempty"`
	// StartedUnixMS is the start time as a Unix time in ms, 0 if unknown. A runner
	// that restarts under its old ID has lost its earlier contents.
	StartedUnixMS int64 `cbor:"8,keyasint,omitempty"`
}

// Process names the process of the runner. The name differs for each of its starts.
func (r *Runner) Process() string {
	return r.ID + " " + r.Addr + " " + strconv.FormatInt(r.StartedUnixMS, 10)
}

// RunnerList is the result of one poll of the platform's list. It is immutable.
type RunnerList struct {
	// Source is the control VM that polled the list. Seq increases with each
	// change that it observes.
	Source  string   `cbor:"1,keyasint"`
	Seq     uint64   `cbor:"2,keyasint"`
	Runners []Runner `cbor:"3,keyasint"`
}
