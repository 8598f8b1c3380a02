package routing

import "time"

// circuit counts consecutive connect failures to one upstream.
type circuit struct {
	gate
	failures int
}

func (c *circuit) failed(o CircuitOptions, now time.Time) {
	c.failures++
	if c.failures >= o.Failures || c.shut {
		c.close(o.Base, o.Max, now)
	}
}

func (c *circuit) connected() {
	c.failures = 0
	c.open()
}
