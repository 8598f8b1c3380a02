package audit

import (
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/problem"
)

// Kind is the type of event that a record describes.
type Kind uint8

// Kinds of records. A request has one Begin, a Dispatch and a StageEnd for each
// attempt of each stage, and one End.
const (
	Begin Kind = iota + 1
	Dispatch
	StageEnd
	End
)

var kindNames = map[Kind]string{Begin: "begin", Dispatch: "dispatch", StageEnd: "stage_end", End: "end"}

// String returns the kind's name as shown to operators.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return "unknown kind"
}

// Outcome is the result of an attempt or a request.
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

// Record is one event in the life of a request. The fields after AtUnixMS are
// set only in the kinds named above them.
type Record struct {
	Kind    Kind          `cbor:"2,keyasint" json:"kind"`
	Request ids.RequestID `cbor:"-" json:"request"`
	// AtUnixMS is the entry VM's wall time. It is not used for ordering.
	AtUnixMS int64 `cbor:"3,keyasint" json:"at_unix_ms"`

	// Begin. Target is the pipeline, or the service with its operation.
	Workspace       string `cbor:"4,keyasint,omitempty" json:"workspace,omitempty"`
	Target          string `cbor:"5,keyasint,omitempty" json:"target,omitempty"`
	DeadlineMS      int64  `cbor:"6,keyasint,omitempty" json:"deadline_ms,omitempty"`
	KeyDigest       []byte `cbor:"7,keyasint,omitempty" json:"key_digest,omitempty"`
	SettingsVersion uint64 `cbor:"8,keyasint,omitempty" json:"settings_version,omitempty"`

	// Dispatch and StageEnd.
	Stage    string `cbor:"9,keyasint,omitempty" json:"stage,omitempty"`
	Attempt  uint32 `cbor:"10,keyasint,omitempty" json:"attempt,omitempty"`
	Upstream string `cbor:"11,keyasint,omitempty" json:"upstream,omitempty"`

	// StageEnd and End. Detail is the reason for a failure.
	Outcome Outcome `cbor:"12,keyasint,omitempty" json:"outcome,omitempty"`
	Detail  string  `cbor:"13,keyasint,omitempty" json:"detail,omitempty"`

	// End.
	Execution      problem.ExecutionState `cbor:"14,keyasint,omitempty" json:"execution_state,omitempty"`
	ResponseDigest []byte                 `cbor:"15,keyasint,omitempty" json:"response_digest,omitempty"`
}

// Batch is a group of records that a writer sends together. Number counts the
// batches of a session from 1; a resend has the same number and the same
// records.
type Batch struct {
	Number  uint64
	Records []Record
}

// Entry is a stored record. Batch and Position identify it within the session,
// so that a record stored on two control VMs counts once.
type Entry struct {
	Record   Record `json:"record"`
	Batch    uint64 `json:"batch"`
	Position uint32 `json:"position"`
}
