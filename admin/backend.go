package admin

import (
	"context"
	"encoding/json"
	"time"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/settings"
)

// Backend is the access of the API to the control VM that it runs on.
// Implementations are safe for concurrent use. An error that is a
// *problem.Problem is returned to the operator; any other error is reported as
// control_unavailable.
type Backend interface {
	// Propose replicates a command, forwarding it to the leader if needed, and
	// returns its result. After an error the command may have been applied or
	// may still be applied later. Every command may be proposed again.
	Propose(ctx context.Context, c command.Command) (command.Result, error)

	// Tree returns the newest settings and how long ago the leader confirmed
	// that no newer version had been accepted.
	Tree(ctx context.Context) (tree *settings.Tree, age time.Duration, err error)

	// WaitInEffect waits until version is in effect on every entry VM or ctx
	// ends. It returns the newest version that is in effect, and returns at
	// once if version already is.
	WaitInEffect(ctx context.Context, version uint64) (inEffect uint64, err error)

	// Status returns the state of the control VMs and the entry VMs.
	Status(ctx context.Context) (Status, error)

	// Drain tells an entry VM to accept no new requests and to stop once those
	// in progress have ended. It returns an error if the VM has no open
	// session.
	Drain(ctx context.Context, vm ids.VMID) error

	// Audit returns the matching records of all control VMs, merged and oldest
	// first. Each record is one JSON value.
	Audit(ctx context.Context, q AuditQuery) (AuditReply, error)
}

// AuditQuery selects audit records. A zero field does not restrict the
// selection.
type AuditQuery struct {
	Request   string    `json:"request,omitempty"`
	Workspace string    `json:"workspace,omitempty"`
	VM        ids.VMID  `json:"vm,omitempty"`
	From      time.Time `json:"from,omitzero"`
	To        time.Time `json:"to,omitzero"`
	// Limit is the maximum number of records, from 1 to MaxAuditLimit.
	Limit int `json:"limit"`
}

// AuditReply is the reply to GET /v1/audit.
type AuditReply struct {
	Records []json.RawMessage `json:"records"`
	// Complete is false if a control VM could not be queried, so that records
	// may be missing.
	Complete bool `json:"complete"`
	// Missing lists the control VMs that could not be queried.
	Missing []ids.VMID `json:"missing,omitempty"`
}

// Status is the reply to GET /v1/status: the state of the system as one control
// VM knows it.
type Status struct {
	// VM is the control VM that answers.
	VM     ids.VMID `json:"vm"`
	Leader ids.VMID `json:"leader"`
	Term   uint64   `json:"term"`
	// AppliedIndex is the index of the last log entry that VM has applied.
	AppliedIndex uint64 `json:"applied"`
	// Version is the newest settings version, InEffect the newest one that is
	// in effect on every entry VM.
	Version  uint64          `json:"version"`
	InEffect uint64          `json:"in_effect"`
	Control  []ControlStatus `json:"control"`
	Entries  []EntryStatus   `json:"entries"`
	// The ledger counts are numbers of idempotency keys.
	LedgerEntries    int `json:"ledger_entries"`
	LedgerClaimed    int `json:"ledger_claimed"`
	LedgerTombstones int `json:"ledger_tombstones"`
}

// ControlStatus is the state of one control VM.
type ControlStatus struct {
	VM     ids.VMID   `json:"vm"`
	Region ids.Region `json:"region,omitempty"`
	// Role is "leader", "follower" or "learner".
	Role string `json:"role"`
	// MatchIndex is the index of the last log entry known to be synced to disk on
	// the VM. Only the leader reports it.
	MatchIndex uint64 `json:"match"`
	// SinceLastMessageMS is the time since the last message from the VM, in
	// milliseconds.
	SinceLastMessageMS int64 `json:"silent_ms"`
}

// EntryStatus is the state of one entry VM with an open session.
type EntryStatus struct {
	VM          ids.VMID        `json:"vm"`
	Region      ids.Region      `json:"region,omitempty"`
	Incarnation ids.Incarnation `json:"incarnation"`
	// SettingsVersion is the settings version that the VM uses.
	SettingsVersion uint64 `json:"in_force"`
	// LeaseMS is the guaranteed remaining term of the VM's settings lease, in
	// milliseconds.
	LeaseMS  int64 `json:"lease_ms"`
	Draining bool  `json:"draining,omitempty"`
}
