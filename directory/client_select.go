package directory

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"damaskbridge.example/damaskbridge/internal/timer"
)

const (
	// retryInterval is the pause before control VMs are tried again after a
	// failure.
	retryInterval = 100 * time.Millisecond
	// minStartInterval is the first pause of a VM that has no document yet. It
	// retries faster because callers wait for it; the pause doubles with each
	// failed round up to retryInterval.
	minStartInterval = 25 * time.Millisecond
	// reselectInterval is the time between two searches for a nearer control VM.
	// The random part keeps VMs that started together from searching together.
	reselectInterval = 20 * time.Second
	reselectJitter   = 10 * time.Second
	selectTimeout    = 700 * time.Millisecond
	// startSelectTimeout replaces selectTimeout while the VM has no document:
	// after a power loss, control VMs that are still starting do not answer.
	startSelectTimeout = 300 * time.Millisecond
	// nearerMargin is by how much another control VM must answer sooner than the
	// current one to replace it. Each move changes the reports of two control VMs.
	nearerMargin = 5 * time.Millisecond
	// maxProbed is the maximum number of control VMs that one selection probes.
	maxProbed = 7
)

// probeResult is the result of probing a control VM. The reply is nil if the call
// failed.
type probeResult struct {
	addr  string
	reply *watchReply
}

// selectControl probes several control VMs concurrently and selects the first
// that answers with fresh state, which is the nearest usable one. If none is
// fresh, it selects one that answered at all. While this VM has no document, it
// selects the first that answers: that one's state is usually confirmed soon.
func (c *Client) selectControl(ctx context.Context) {
	addrs := c.candidateAddrs()
	before := c.current
	c.reselectAt = time.Now().Add(reselectInterval + rand.N(reselectJitter))
	starting := c.State().Table == nil
	timeout := selectTimeout
	if starting {
		timeout = startSelectTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := c.probe(ctx, addrs)
	if starting {
		c.current = firstAnswer(results, len(addrs), c.abandoned)
	} else {
		c.current = firstFresh(results, len(addrs), before)
	}
	if c.current != before {
		c.opts.Logger.Info().Str("control", c.current).Str("before", before).Int("asked", len(addrs)).Msg("directory: control VM chosen")
	}
}

// probe asks the control VMs for the age of their state.
func (c *Client) probe(ctx context.Context, addrs []string) <-chan probeResult {
	results := make(chan probeResult, len(addrs))
	call := &watchCall{From: c.opts.Self, Format: formatSets, Probe: true, legacyCall: c.legacy, Version: c.version()}
	for _, addr := range addrs {
		go func() {
			reply, err := callWatch(ctx, c.opts.Caller, addr, call)
			if err != nil {
				reply = nil
			}
			results <- probeResult{addr: addr, reply: reply}
		}()
	}
	return results
}

// firstAnswer returns the control VM that answers first, or "". It returns the
// one to avoid only if no other one answers.
func firstAnswer(results <-chan probeResult, probed int, avoid string) string {
	avoided := ""
	for range probed {
		r := <-results
		switch {
		case r.reply == nil:
		case r.addr == avoid:
			avoided = r.addr
		default:
			return r.addr
		}
	}
	return avoided
}

// firstFresh returns the control VM that answers first with fresh state, or the
// current one if that answers within nearerMargin of it. Without fresh state it
// returns one that answered, or "".
func firstFresh(results <-chan probeResult, probed int, current string) string {
	chosen, fresh := "", false
	var margin <-chan time.Time
	for range probed {
		select {
		case r := <-results:
			switch {
			case r.reply == nil:
			case isFresh(r.reply) && (r.addr == current || !fresh && current == ""):
				return r.addr
			case isFresh(r.reply) && !fresh:
				chosen, fresh = r.addr, true
				margin = time.After(nearerMargin)
			case chosen == "":
				chosen = r.addr
			}
		case <-margin:
			return chosen
		}
	}
	return chosen
}

// nextRetryInterval returns the pause before the next round.
func (c *Client) nextRetryInterval() time.Duration {
	if c.State().Table != nil {
		return retryInterval
	}
	c.startInterval = min(max(2*c.startInterval, minStartInterval), retryInterval)
	return c.startInterval
}

// isFresh reports whether the replying control VM was in contact with the leader
// within maxStaleness.
func isFresh(r *watchReply) bool { return r.AgeMS >= 0 && r.AgeMS < maxStaleness.Milliseconds() }

// candidateAddrs returns the addresses of up to maxProbed control VMs in random
// order.
func (c *Client) candidateAddrs() []string {
	list := slices.Clone(c.opts.Seeds())
	for _, addr := range c.controlAddrs {
		if !slices.Contains(list, addr) {
			list = append(list, addr)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxProbed)]
}

// abandonControl makes Run select another control VM.
func (c *Client) abandonControl(ctx context.Context, addr string, err error) {
	c.opts.Logger.Warn().Err(err).Str("control", addr).Uint64("version", c.version()).Msg("directory: leaving the control VM")
	c.current, c.abandoned = "", addr
	pause := retryInterval
	if c.State().Table == nil {
		pause = c.nextRetryInterval()
	}
	timer.Sleep(ctx, pause)
}
