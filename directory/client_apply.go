package directory

import (
	"maps"
	"slices"
	"strings"
	"time"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/evacuation"
	"damaskbridge.example/damaskbridge/quarantine"
	"damaskbridge.example/damaskbridge/warmup"
)

// apply stores a new state with the content of the reply to a call that was sent
// at sentAt. The version of the document never decreases.
func (c *Client) apply(sentAt time.Time, call *watchCall, reply *watchReply) {
	next := *c.State()
	if reply.AgeMS >= 0 {
		next.LastContactAt = time.Now()
	}
	if len(reply.Controls) > 0 {
		c.controlAddrs = reply.Controls
	}
	c.applyLists(sentAt, call, reply, &next)
	c.applyWarmUps(&next)
	before := c.version()
	c.applyEvacuations(reply, &next)
	c.applyDocument(reply, &next)
	c.state.Store(&next)
	took := c.monitor.run(c.version(), func() { c.opts.Changed(&next) })
	if version := c.version(); version != before {
		c.opts.Logger.Info().Uint64("version", version).Uint64("before", before).Str("control", c.current).
			Int64("age_ms", reply.AgeMS).Int64("apply_ms", took.Milliseconds()).Msg("directory: document in force")
	}
}

// applyLists updates the lists of runners, entry VMs and quarantined parts.
func (c *Client) applyLists(sentAt time.Time, call *watchCall, reply *watchReply, next *State) {
	names := c.applyLegacy(sentAt, reply)
	if reply.Changes != nil {
		updated, err := c.store.Apply(madeAt(sentAt, reply), call.Sets, reply.Changes)
		if err != nil {
			c.opts.Logger.Warn().Err(err).Str("control", c.current).Msg("directory: a list could not be updated")
		}
		names = append(names, updated...)
	}
	runnersChanged, entriesChanged := false, false
	for _, name := range names {
		switch {
		case hasRunners(name):
			runnersChanged = true
			c.decodeRunners(name)
		case name == quarantineName:
			c.applyQuarantine(next)
		case name == warmUpsName:
			// Each reply may confirm it, so applyWarmUps looks at it always.
		default:
			entriesChanged = true
		}
	}
	// A list of some data centres only would leave services without runners.
	usable := next.List != nil || reply.Complete || reply.List != nil
	if usable && (runnersChanged || next.List == nil) {
		next.List = c.runnerList()
	}
	if next.List != nil {
		next.ListsAsOf = c.listsAsOf()
	}
	if entriesChanged {
		next.Entries = entriesOf(c.store)
	}
}

// applyWarmUps puts this VM's grants of runners that warm up in force, as of their
// latest confirmation.
func (c *Client) applyWarmUps(next *State) {
	set, asOf := c.store.Get(warmUpsName)
	if set == nil {
		return
	}
	grants, err := decodeSet[warmup.Grant](set)
	if err != nil {
		c.opts.Logger.Error().Err(err).Msg("directory: grants of runners that warm up")
		return
	}
	next.WarmUps = warmup.NewGrants(asOf, grants, c.opts.Self.Addr)
}

// applyQuarantine puts the quarantined parts of prompts in force.
func (c *Client) applyQuarantine(next *State) {
	set, _ := c.store.Get(quarantineName)
	list, err := decodeSet[quarantine.Quarantined](set)
	if err != nil {
		c.opts.Logger.Error().Err(err).Msg("directory: quarantined prompt parts")
		return
	}
	known := quarantine.NewKnown(list)
	if !slices.Equal(known.WithoutTrials(), next.Quarantined.WithoutTrials()) {
		c.opts.Logger.Info().Int("parts", len(list)).Str("control", c.current).Msg("directory: quarantined prompt parts in force")
	}
	next.Quarantined = known
}

// decodeRunners decodes a set of runners that has changed.
func (c *Client) decodeRunners(name string) {
	set, _ := c.store.Get(name)
	list, err := decodeSet[Runner](set)
	if err != nil {
		c.opts.Logger.Error().Err(err).Str("list", name).Msg("directory: runner list")
		return
	}
	if before, ok := c.runners[name]; ok {
		logListChanges(c.opts.Logger, before, list)
	}
	c.runners[name] = list
}

// runnerList returns the runners of all data centres.
func (c *Client) runnerList() *RunnerList {
	list := &RunnerList{}
	for _, name := range slices.Sorted(maps.Keys(c.runners)) {
		list.Runners = append(list.Runners, c.runners[name]...)
	}
	return list
}

// listsAsOf returns as of when the runners of each data centre are known.
func (c *Client) listsAsOf() map[string]time.Time {
	times := make(map[string]time.Time, len(c.runners))
	for name := range c.runners {
		_, asOf := c.store.Get(name)
		times[strings.TrimPrefix(name, runnersPrefix)] = asOf
	}
	return times
}

// applyEvacuations puts newer evacuations in force. Like the first document, the first
// ones must come from a control VM in contact with a leader.
func (c *Client) applyEvacuations(reply *watchReply, next *State) {
	t := reply.Evacuations
	if evacuation.VersionOf(t) <= evacuation.VersionOf(next.Evacuations) || next.Table == nil && !isFresh(reply) {
		return
	}
	next.Evacuations = t
	c.opts.Logger.Info().Uint64("version", t.Version).Strs("evacuated", t.Evacuated()).Str("control", c.current).
		Int64("age_ms", reply.AgeMS).Msg("directory: evacuations in force")
}

// applyDocument adds a newer document to the state. The first document must come
// from a control VM in contact with a leader: a stale document would restore
// routes and keys that have been replaced.
func (c *Client) applyDocument(reply *watchReply, next *State) {
	if next.Table == nil && !isFresh(reply) {
		return
	}
	d := c.receivedDocument(reply)
	if d == nil || d.Version <= c.version() {
		return
	}
	decoded, err := c.opts.Decode(d.Body)
	if err != nil {
		c.opts.Logger.Error().Err(err).Uint64("version", d.Version).Msg("directory: document cannot be decoded; the release of this VM may be too old")
		return
	}
	next.Table = catalog.NewTable(decoded)
	c.document, c.needsDocument = d, false
}

// receivedDocument returns the document in a reply, or nil if there is none. A
// patch that does not fit makes the next call ask for the whole document.
func (c *Client) receivedDocument(reply *watchReply) *catalog.Document {
	if reply.Patch == nil {
		return reply.Document
	}
	var base []byte
	if c.document != nil && !c.needsDocument {
		base = c.document.Body
	}
	body, err := reply.Patch.Body.Apply(base)
	if err != nil {
		c.opts.Logger.Warn().Err(err).Uint64("version", reply.Patch.Version).Msg("directory: document patch does not fit; the whole document is requested")
		c.needsDocument = true
		return nil
	}
	return &catalog.Document{Version: reply.Patch.Version, Body: body}
}
