package machine

import "time"

// Clock gives the times that a leader puts into its commands. It reads the
// wall clock once and follows the monotonic clock from there, so that a wall
// clock that is set while the process runs changes nothing. If the state is
// ahead, for instance by an earlier leader's wrong clock, the time goes on from
// the state's at the pace of the monotonic clock; else it would stand still,
// and with it rate budgets and terms, until the wall clock has caught up. The
// zero value is ready for use. It is not safe for concurrent use.
type Clock struct {
	start   time.Time
	startMS int64
}

// Now gives the time of the next command. now is from time.Now and must carry
// its monotonic reading; stateUnixMS is Machine.NowUnixMS.
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
