package admin

import (
	"damaskbridge.example/damaskbridge/audit"
	"damaskbridge.example/damaskbridge/ids"
)

// RequestAccount is the reply to GET /v1/audit/requests/{id}.
type RequestAccount struct {
	Summary audit.Summary `json:"summary"`
	Records []audit.Entry `json:"records"`
	// Complete is false if a control VM could not be asked.
	Complete bool       `json:"complete"`
	Missing  []ids.VMID `json:"missing,omitempty"`
}

// UnaccountedReply is the reply to GET /v1/audit/unaccounted: what the ended
// sessions leave open.
type UnaccountedReply struct {
	Sessions []audit.UnaccountedReport `json:"sessions"`
	Complete bool                      `json:"complete"`
	Missing  []ids.VMID                `json:"missing,omitempty"`
}
