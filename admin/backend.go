package admin

import (
	"context"
	"encoding/json"
	"time"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/settings"
)

// Backend is what the API needs of the control VM it runs on. It is safe for
// concurrent use. An error that is a *problem.Problem is passed on to the
// operator; any other is reported as control_unavailable.
type Backend interface {
	// Propose replicates a command, forwarding it to the leader if needed,
	// and gives its result. An error says nothing about whether the command
	// is applied now or later; every command may be proposed again.
	Propose(ctx context.Context, c command.Command) (command.Result, error)

	// Tree gives the newest settings together with the age of the proof, by
	// the leader, that no newer version was accepted before it.
	Tree(ctx context.Context) (tree *settings.Tree, age time.Duration, err error)

	// WaitInEffect waits until version is in effect on every entry VM, or ctx
	// ends, and gives the newest version that is in effect. For a version
	// that is in effect it does not wait.
	WaitInEffect(ctx context.Context, version uint64) (inEffect uint64, err error)

	// Status describes the control VMs and the entry VMs.
	Status(ctx context.Context) (Status, error)

	// Drain asks an entry VM to take no new requests and to end after its
	// open ones. It gives an error if no session of the VM is open.
	Drain(ctx context.Context, vm ids.VMID) error

	// Audit gives the records that match, merged over all control VMs, oldest
	// first, each as one JSON value.
	Audit(ctx context.Context, q AuditQuery) (AuditReply, error)
}

// AuditQuery selects audit records. Zero fields select everything.
type AuditQuery struct {
	Request   string    `json:"request,omitempty"`
	Workspace string    `json:"workspace,omitempty"`
	VM        ids.VMID  `json:"vm,omitempty"`
	From      time.Time `json:"from,omitzero"`
	To        time.Time `json:"to,omitzero"`
	// Limit is the greatest number of records, 1 to MaxAuditLimit.
	Limit int `json:"limit"`
}

// AuditReply is the outcome of an audit query.
type AuditReply struct {
	Records []json.RawMessage `json:"records"`
	// Complete is false if a control VM could not be asked, so that records
	// may be missing.
	Complete bool `json:"complete"`
	// Missing names the control VMs that could not be asked.
	Missing []ids.VMID `json:"missing,omitempty"`
}

// Status describes the system as one control VM sees it.
type Status struct {
	VM       ids.VMID        `json:"vm"`
	Leader   ids.VMID        `json:"leader"`
	Term     uint64          `json:"term"`
	Applied  uint64          `json:"applied"`
	Version  uint64          `json:"version"`
	InEffect uint64          `json:"in_effect"`
	Control  []ControlStatus `json:"control"`
	Entries  []EntryStatus   `json:"entries"`
	// Ledger counts keys.
	LedgerEntries    int `json:"ledger_entries"`
	LedgerClaimed    int `json:"ledger_claimed"`
	LedgerTombstones int `json:"ledger_tombstones"`
}

// ControlStatus describes one control VM.
type ControlStatus struct {
	VM     ids.VMID   `json:"vm"`
	Region ids.Region `json:"region,omitempty"`
	// Role is "leader", "follower" or "learner".
	Role  string `json:"role"`
	Match uint64 `json:"match"`
	// SilentMS is the time since the VM was last heard of, in milliseconds.
	SilentMS int64 `json:"silent_ms"`
}

// EntryStatus describes one entry VM with an open session.
type EntryStatus struct {
	VM          ids.VMID        `json:"vm"`
	Region      ids.Region      `json:"region,omitempty"`
	Incarnation ids.Incarnation `json:"incarnation"`
	InForce     uint64          `json:"in_force"`
	// LeaseMS is how long its settings lease certainly lasts, in milliseconds.
	LeaseMS  int64 `json:"lease_ms"`
	Draining bool  `json:"draining,omitempty"`
}
