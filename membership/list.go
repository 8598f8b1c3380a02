package membership

import "damaskbridge.example/damaskbridge/ids"

// ListState is the state of an upstream in the platform's membership list.
type ListState string

// States of upstreams in the membership list.
const (
	ListLive    ListState = "live"
	ListLeaving ListState = "leaving"
)

// Member is one entry of the membership list.
type Member struct {
	VM      ids.VMID   `json:"vm"`
	Address string     `json:"address"`
	Pool    string     `json:"pool"`
	Region  ids.Region `json:"region"`
	State   ListState  `json:"state"`
}

// List is the response body of GET /members.
type List struct {
	Seq      uint64   `json:"seq"`
	AtUnixMS int64    `json:"at_unix_ms"`
	Members  []Member `json:"members"`
}

// ListResult is the outcome of ApplyList.
type ListResult uint8

// Outcomes of ApplyList.
const (
	// ListOutdated means that a list with the same or a higher Seq was applied
	// before.
	ListOutdated ListResult = iota
	// ListApplied means that the list is fully in effect.
	ListApplied
	// ListSuspect means that the list shrinks some pool too far: additions and
	// other pools are in effect, removals from that pool await confirmation. It
	// is also the outcome of an empty first list, which has no effect.
	ListSuspect
)
