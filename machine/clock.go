package machine

import "time"

// Clock provides the timestamps that a leader puts into its commands. It reads
// the wall clock once and then follows the monotonic clock, so that a change of
// the wall clock while the process runs has no effect. If the state's time is
// ahead, for example because of an earlier leader's wrong clock, the clock
// continues from the state's time at the pace of the monotonic clock. Otherwise
// the state's time, and with it rate budgets and the terms of fencing tokens,
// would stand still until the wall clock had caught up. The zero value is ready
// for use. A Clock is not safe for concurrent use.
type Clock struct {
	start   time.Time
	startMS int64
}

// Now returns the timestamp of the next command in Unix milliseconds. now is the
// result of time.Now with its monotonic reading; stateUnixMS is
// Machine.NowUnixMS.
func (c *Clock) Now(now time.Time, stateUnixMS int64) int64 {
	if c.start.IsZero() {
		c.start, c.startMS = now, now.UnixMilli()
	}
	ms := c.startMS + now.Sub(c.start).Milliseconds()
	if ms < stateUnixMS {
		c.start, c.startMS = now, stateUnixMS
		ms = stateUnixMS
	}
	return ms
}
