package audit

import (
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/problem"
)

// Kind says what a record is about.
type Kind uint8

// Kinds of records. A request has one Begin, for each attempt of each stage a
// Dispatch and a StageEnd, and one End.
const (
	Begin Kind = iota + 1
	Dispatch
	StageEnd
	End
)

var kindNames = map[Kind]string{Begin: "begin", Dispatch: "dispatch", StageEnd: "stage_end", End: "end"}

// String gives the kind's name as shown to operators.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return "unknown kind"
}

// Outcome says how an attempt or a request ended.
type Outcome string

// Outcomes. A request or attempt without a recorded outcome is Unknown.
const (
	OK       Outcome = "ok"
	Failed   Outcome = "failed"
	Canceled Outcome = "canceled"
	Rejected Outcome = "rejected"
	Expired  Outcome = "deadline_exceeded"
	NotSent  Outcome = "not_sent"
	Unknown  Outcome = "unknown"
)

// Record is one event in the life of a request. The fields after AtUnixMS
// belong to the kinds named at each group.
type Record struct {
	Kind    Kind          `cbor:"2,keyasint" json:"kind"`
	Request ids.RequestID `cbor:"-" json:"request"`
	// AtUnixMS is the entry VM's wall time in ms. It orders nothing.
	AtUnixMS int64 `cbor:"3,keyasint" json:"at_unix_ms"`

	// Begin. Target is the pipeline or the service with its operation.
	Workspace       string `cbor:"4,keyasint,omitempty" json:"workspace,omitempty"`
	Target          string `cbor:"5,keyasint,omitempty" json:"target,omitempty"`
	DeadlineMS      int64  `cbor:"6,keyasint,omitempty" json:"deadline_ms,omitempty"`
	KeyDigest       []byte `cbor:"7,keyasint,omitempty" json:"key_digest,omitempty"`
	SettingsVersion uint64 `cbor:"8,keyasint,omitempty" json:"settings_version,omitempty"`

	// Dispatch and StageEnd.
	Stage    string `cbor:"9,keyasint,omitempty" json:"stage,omitempty"`
	Attempt  uint32 `cbor:"10,keyasint,omitempty" json:"attempt,omitempty"`
	Upstream string `cbor:"11,keyasint,omitempty" json:"upstream,omitempty"`

	// StageEnd and End. Detail is the reason of a failure.
	Outcome Outcome `cbor:"12,keyasint,omitempty" json:"outcome,omitempty"`
	Detail  string  `cbor:"13,keyasint,omitempty" json:"detail,omitempty"`

	// End.
	Execution      problem.State `cbor:"14,keyasint,omitempty" json:"execution_state,omitempty"`
	ResponseDigest []byte        `cbor:"15,keyasint,omitempty" json:"response_digest,omitempty"`
}

// Batch is what a writer sends at once. Number counts the batches of its
// session from 1; a resend carries the same number and the same records.
type Batch struct {
	Number  uint64
	Records []Record
}

// Entry is a stored record. Batch and Position name its place in the session,
// so that the same record found on two control VMs counts once.
type Entry struct {
	Record   Record `json:"record"`
	Batch    uint64 `json:"batch"`
	Position uint32 `json:"position"`
}
