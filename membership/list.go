package membership

import "damaskbridge.example/damaskbridge/ids"

// ListState is an upstream's state in the platform's membership list.
type ListState string

// States of the membership list.
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

// List is the response of GET /members.
type List struct {
	Seq      uint64   `json:"seq"`
	AtUnixMS int64    `json:"at_unix_ms"`
	Members  []Member `json:"members"`
}

// ListResult says what became of a list.
type ListResult uint8

// Results of ApplyList.
const (
	// ListOld means that a list with this or a higher number was applied.
	ListOld ListResult = iota
	// ListApplied means that the list is in effect.
	ListApplied
	// ListSuspect means that too many upstreams have vanished: additions are in
	// effect, removals wait for confirmation.
	ListSuspect
)
