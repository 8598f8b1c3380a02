package directory

import (
	"context"
	"time"

	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

// The release before formatSets sends every list whole. During a rolling upgrade
// its VMs and those of this release watch each other. This file can be removed
// in the release after this one.

// legacyCall holds what an earlier release states in a watchCall.
type legacyCall struct {
	// ListSource and ListSeq identify the runner list that the caller has.
	ListSource string `cbor:"3,keyasint,omitempty"`
	ListSeq    uint64 `cbor:"4,keyasint,omitempty"`
	// RosterTag identifies the list of entry VMs that the caller has, 0 for none.
	RosterTag uint64 `cbor:"6,keyasint,omitempty"`
}

// legacyReply holds what an earlier release expects in a watchReply.
type legacyReply struct {
	List *RunnerList `cbor:"3,keyasint,omitempty"`
	// RosterTag identifies the list of entry VMs. Entries is omitted if the
	// caller already has that list.
	RosterTag uint64    `cbor:"5,keyasint,omitempty"`
	Entries   []EntryVM `cbor:"6,keyasint,omitempty"`
}

// rosterCall reports to the leader the entry VMs that watch the caller.
type rosterCall struct {
	From    string    `cbor:"1,keyasint"`
	Entries []EntryVM `cbor:"2,keyasint"`
}

// rosterReply holds all entry VMs that the leader knows.
type rosterReply struct {
	Entries []EntryVM `cbor:"1,keyasint"`
}

// addLegacyLists adds to a reply the lists that an entry VM of the earlier
// release lacks.
func (s *Server) addLegacyLists(call *watchCall, reply *watchReply) {
	if !reply.Complete {
		return
	}
	// Random at each start of this process, as digests of the same lists must not
	// be mistaken for those of an earlier list of another control VM.
	seq := max(s.lists.digest(runnersPrefix)+s.legacySeed, 1)
	if call.ListSource != s.opts.Self || call.ListSeq != seq {
		reply.List = &RunnerList{Source: s.opts.Self, Seq: seq, Runners: s.lists.runners()}
	}
	reply.RosterTag = max(s.lists.digest(entriesPrefix), 1)
	if call.RosterTag != reply.RosterTag {
		reply.Entries = s.lists.entries()
	}
}

// serveLegacyRoster answers a control VM of the earlier release, which reports
// its entry VMs to the leader.
func (s *Server) serveLegacyRoster(now time.Time, call *rosterCall) *rosterReply {
	s.lists.put(watchersPrefix+call.From, now, encodeSet(call.Entries))
	return &rosterReply{Entries: s.lists.entries()}
}

// exchangeLegacyRoster reports this VM's entry VMs to a leader of the earlier
// release and takes all entry VMs from it.
func (s *Server) exchangeLegacyRoster(ctx context.Context, leader string) error {
	now := time.Now()
	s.mu.Lock()
	call := &rosterCall{From: s.opts.Self, Entries: s.watchers.list(now)}
	s.mu.Unlock()
	body, err := wire.Encode(call)
	if err != nil {
		return err
	}
	b, err := s.opts.Caller.Call(ctx, leader, transport.MethodRoster, body)
	if err != nil {
		return err
	}
	var reply rosterReply
	if err := wire.Decode(b, &reply); err != nil {
		return err
	}
	s.lists.putEntries(now, reply.Entries)
	return nil
}

// applyLegacy stores the lists of a control VM of the earlier release and
// returns the names of the sets that have changed.
func (c *Client) applyLegacy(now time.Time, reply *watchReply) (changed []string) {
	if reply.List != nil {
		c.legacy.ListSource, c.legacy.ListSeq = reply.List.Source, reply.List.Seq
		changed = putByZone(c.store, runnersPrefix, now, reply.List.Runners, runnerZone)
	}
	if reply.RosterTag != 0 && reply.RosterTag != c.legacy.RosterTag {
		c.legacy.RosterTag = reply.RosterTag
		changed = append(changed, putByZone(c.store, entriesPrefix, now, reply.Entries, entryZone)...)
	}
	return changed
}
