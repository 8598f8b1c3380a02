package admin

import (
	"damaskbridge.example/damaskbridge/audit"
	"damaskbridge.example/damaskbridge/ids"
)

// RequestAuditReply is the reply to GET /v1/audit/requests/{id}: the audit
// records of one request and their summary.
type RequestAuditReply struct {
	Summary audit.Summary `json:"summary"`
	Records []audit.Entry `json:"records"`
	// Complete is false if a control VM could not be queried, so that records
	// may be missing.
	Complete bool `json:"complete"`
	// Missing lists the control VMs that could not be queried.
	Missing []ids.VMID `json:"missing,omitempty"`
}

// UnaccountedReply is the reply to GET /v1/audit/unaccounted: for each ended
// session, the requests without an end record and the reserved request numbers
// without any record.
type UnaccountedReply struct {
	Sessions []audit.UnaccountedReport `json:"sessions"`
	// Complete is false if a control VM could not be queried, so that records
	// may be missing.
	Complete bool `json:"complete"`
	// Missing lists the control VMs that could not be queried.
	Missing []ids.VMID `json:"missing,omitempty"`
}
