package retry

import "time"

// Stalled records that an open attempt has sent nothing for longer than expected.
// Its upstream may be sound and go on, so silence ends no attempt: it starts a
// standby attempt if the policy and the budget allow one and all other open
// attempts are silent as well. The silent attempt ends when the standby makes progress, completes, or
// has been with its upstream for Policy.MaxOverlap without being refused; the
// standby ends when the silent attempt makes progress first.
//
// Stalled may be called again while the silence lasts, to start another standby
// after one that failed.
func (c *Call) Stalled(number int, now time.Time) []Action {
	a := c.openAttempt(number)
	if !c.policy.Idempotent || a == nil {
		return nil
	}
	a.isSilent = true
	if c.anyWorking() {
		return nil
	}
	if len(c.attempts) >= c.policy.MaxAttempts || !c.hasTimeLeft(now) {
		return nil
	}
	if !c.budget.TrySpend(now) {
		c.counts.StandbyDenied++
		return nil
	}
	c.hedged = true
	for i := range c.attempts {
		c.attempts[i].isStandby = false
	}
	return c.dispatch(Standby, now)
}

// anyWorking reports whether an open attempt is not known to be silent.
func (c *Call) anyWorking() bool {
	for i := range c.attempts {
		if c.attempts[i].open && !c.attempts[i].isSilent {
			return true
		}
	}
	return false
}

// Delivered records that the whole attempt has been written to an upstream other
// than that of the silent attempt. A standby that is not refused within
// Policy.MaxOverlap from now on takes over.
func (c *Call) Delivered(number int, now time.Time) {
	a := c.openAttempt(number)
	if a == nil || c.policy.MaxOverlap <= 0 || !a.takesOverAt.IsZero() {
		return
	}
	a.takesOverAt = now.Add(c.policy.MaxOverlap)
}

// takeoverTime returns the next time at which a standby takes over, or false if
// there is none.
func (c *Call) takeoverTime() (number int, at time.Time, ok bool) {
	for i := range c.attempts {
		a := &c.attempts[i]
		if a.open && a.isStandby && !a.takesOverAt.IsZero() && c.othersOpen(i+1) {
			return i + 1, a.takesOverAt, true
		}
	}
	return 0, time.Time{}, false
}

// othersOpen reports whether an attempt other than number is open.
func (c *Call) othersOpen(number int) bool {
	for i := range c.attempts {
		if i+1 != number && c.attempts[i].open {
			return true
		}
	}
	return false
}

// cancelReason returns why the other attempts are cancelled in favour of number.
func (c *Call) cancelReason(number int) Reason {
	if c.attempts[number-1].isStandby {
		return TakenOver
	}
	return Lost
}
