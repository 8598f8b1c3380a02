package admission

// SetOptions replaces the options of all pools without options of their own at
// run time. Options must pass Options.Check. The current limits of the gates are
// kept, clamped to the new bounds.
func (c *Controller) SetOptions(opts Options) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opts = opts
	for pool, p := range c.gates {
		p.gate.setOptions(c.poolOptions(pool))
	}
}

// SetPoolOptions sets options for one pool; later calls of SetOptions no longer
// affect it. Options must pass Options.Check.
func (c *Controller) SetPoolOptions(pool string, opts Options) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.poolOpts[pool] = opts
	if p := c.gates[pool]; p != nil {
		p.gate.setOptions(opts)
	}
}

// poolOptions returns the options of a pool. The caller holds mu.
func (c *Controller) poolOptions(pool string) Options {
	if opts, ok := c.poolOpts[pool]; ok {
		return opts
	}
	return c.opts
}

func (g *Gate) setOptions(opts Options) {
	g.opts = opts
	g.limiter.opts = opts.Limiter
	g.limiter.setLimit(g.limiter.limit)
}
