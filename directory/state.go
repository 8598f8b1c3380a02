package directory

import (
	"time"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/evacuation"
	"damaskbridge.example/damaskbridge/quarantine"
	"damaskbridge.example/damaskbridge/warmup"
)

// State is the directory's content as known to an entry VM. It is immutable.
type State struct {
	// Table is the catalog in force, nil before the first.
	Table *catalog.Table
	// List is the newest list of runners, nil before the first.
	List *RunnerList
	// ListsAsOf holds, by data centre, a time at which the platform's list of its runners
	// was as List has it. The platform's list itself lags.
	ListsAsOf map[string]time.Time
	Entries   []EntryVM
	// Quarantined are the parts of prompts that are kept away from runners.
	Quarantined quarantine.Known
	// Evacuations are the evacuated data centres, nil before the first order.
	Evacuations *evacuation.Table
	// WarmUps are this VM's grants of runners that warm up, nil for none.
	WarmUps *warmup.Grants
	// LastContactAt is when a control VM in contact with the leader last
	// answered.
	LastContactAt time.Time
}

// ListAsOf returns a time at which the platform's list of a data centre's runners was as
// List has it, the zero time if that is not known.
func (s *State) ListAsOf(zone string) time.Time {
	if asOf, ok := s.ListsAsOf[zone]; ok {
		return asOf
	}
	// The list of all runners may be read as one.
	return s.ListsAsOf[""]
}
