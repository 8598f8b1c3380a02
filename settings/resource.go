package settings

import "damaskbridge.example/damaskbridge/ids"

// StageKind names what a stage does.
type StageKind string

// Kinds of stages and pools.
const (
	Encode   StageKind = "encode"
	Retrieve StageKind = "retrieve"
	Rerank   StageKind = "rerank"
	Generate StageKind = "generate"
	Plain    StageKind = "service"
)

// Stage is one step of a pipeline, executed by a runner of its pool.
type Stage struct {
	Name string    `cbor:"1,keyasint" json:"name" yaml:"name"`
	Kind StageKind `cbor:"2,keyasint" json:"kind" yaml:"kind"`
	Pool string    `cbor:"3,keyasint" json:"pool" yaml:"pool"`
	// Model is the model that a generate stage asks for; empty elsewhere.
	Model string `cbor:"4,keyasint,omitempty" json:"model,omitempty" yaml:"model,omitempty"`
	// Adapter is the adapter that a generate stage asks for, if any.
	Adapter string `cbor:"5,keyasint,omitempty" json:"adapter,omitempty" yaml:"adapter,omitempty"`
}

// Pipeline is a chain of stages. Only its last stage may generate a stream.
type Pipeline struct {
	Name   string  `cbor:"1,keyasint" json:"name" yaml:"name"`
	Stages []Stage `cbor:"2,keyasint" json:"stages" yaml:"stages"`
}

// Service is a plain upstream service that is called in one step.
type Service struct {
	Name string `cbor:"1,keyasint" json:"name" yaml:"name"`
	Pool string `cbor:"2,keyasint" json:"pool" yaml:"pool"`
	// RepeatableOps lists the operations that may be repeated. Every other
	// operation needs an Idempotency-Key and runs at most once.
	RepeatableOps []string `cbor:"3,keyasint,omitempty" json:"repeatable_ops,omitempty" yaml:"repeatable_ops,omitempty"`
}

// Repeatable says whether op may be sent to an upstream more than once.
func (s *Service) Repeatable(op string) bool {
	for _, r := range s.RepeatableOps {
		if r == op {
			return true
		}
	}
	return false
}

// Pool is a set of upstreams of one kind. Its runners come from the platform's
// membership list, where each is listed under the pool's name.
type Pool struct {
	Name string    `cbor:"1,keyasint" json:"name" yaml:"name"`
	Kind StageKind `cbor:"2,keyasint" json:"kind" yaml:"kind"`
	// ChecksFencing says that the pool's runners refuse an order with an old
	// fencing number. Where false, a new holder waits out its predecessor.
	ChecksFencing bool `cbor:"3,keyasint,omitempty" json:"checks_fencing,omitempty" yaml:"checks_fencing,omitempty"`
}

// Workspace is one tenant. Branch is where its inherited values are looked up.
type Workspace struct {
	Name   string `cbor:"1,keyasint" json:"name" yaml:"name"`
	Branch string `cbor:"2,keyasint" json:"branch" yaml:"branch"`
	// TokenSHA256 lists the hex SHA-256 digests of the tokens that callers of
	// this workspace may present; two are listed while a token is rotated.
	TokenSHA256 []string `cbor:"3,keyasint" json:"token_sha256" yaml:"token_sha256"`
	Pipelines   []string `cbor:"4,keyasint,omitempty" json:"pipelines,omitempty" yaml:"pipelines,omitempty"`
	Services    []string `cbor:"5,keyasint,omitempty" json:"services,omitempty" yaml:"services,omitempty"`
}

// Origin says where an effective value comes from.
type Origin struct {
	Value  string `cbor:"1,keyasint" json:"value"`
	Branch string `cbor:"2,keyasint" json:"branch"`
	// Default is true if no branch sets the value.
	Default bool `cbor:"3,keyasint" json:"default"`
	// Version is the tree version that set the value; 0 for a default.
	Version uint64 `cbor:"4,keyasint" json:"version"`
}

// ApplyState is the outcome of a change.
type ApplyState string

// Outcomes of a change.
const (
	Accepted ApplyState = "accepted"
	Conflict ApplyState = "conflict"
	Invalid  ApplyState = "invalid"
)

// ChangeResult is what the operator receives; a resend gets the same one.
type ChangeResult struct {
	State   ApplyState `cbor:"1,keyasint" json:"state"`
	Version uint64     `cbor:"2,keyasint" json:"version"`
	Detail  string     `cbor:"3,keyasint,omitempty" json:"detail,omitempty"`
	// Winner is the change that took the version, in a conflict.
	Winner *Change `cbor:"4,keyasint,omitempty" json:"winner,omitempty"`
}

// Change is one compare-and-set on the tree.
type Change struct {
	// ID is chosen by the operator's tool and is the same in a resend.
	ID       string `cbor:"1,keyasint" json:"id" yaml:"id"`
	Operator string `cbor:"2,keyasint" json:"operator" yaml:"operator"`
	// Base is the version that the change was made on.
	Base uint64 `cbor:"3,keyasint" json:"base" yaml:"base"`
	// Version is the version that the change made, set when it is accepted.
	Version uint64 `cbor:"4,keyasint,omitempty" json:"version,omitempty" yaml:"version,omitempty"`
	// AtUnixMS is the leader's wall time at acceptance, for people only.
	AtUnixMS int64 `cbor:"5,keyasint,omitempty" json:"at_unix_ms,omitempty" yaml:"at_unix_ms,omitempty"`
	Ops      []Op  `cbor:"6,keyasint" json:"ops" yaml:"ops"`
}

// OpKind names what an Op does.
type OpKind string

// Kinds of operations of a change.
const (
	SetValue        OpKind = "set"
	UnsetValue      OpKind = "unset"
	PutPipeline     OpKind = "put_pipeline"
	DeletePipeline  OpKind = "delete_pipeline"
	PutService      OpKind = "put_service"
	DeleteService   OpKind = "delete_service"
	PutPool         OpKind = "put_pool"
	DeletePool      OpKind = "delete_pool"
	PutWorkspace    OpKind = "put_workspace"
	DeleteWorkspace OpKind = "delete_workspace"
)

// Op is one step of a change. Only the fields of its kind are set.
type Op struct {
	Kind OpKind `cbor:"1,keyasint" json:"kind" yaml:"kind"`
	// Branch is a slash-separated path, "" for the root.
	Branch    string     `cbor:"2,keyasint,omitempty" json:"branch,omitempty" yaml:"branch,omitempty"`
	Key       Key        `cbor:"3,keyasint,omitempty" json:"key,omitempty" yaml:"key,omitempty"`
	Value     string     `cbor:"4,keyasint,omitempty" json:"value,omitempty" yaml:"value,omitempty"`
	Name      string     `cbor:"5,keyasint,omitempty" json:"name,omitempty" yaml:"name,omitempty"`
	Pipeline  *Pipeline  `cbor:"6,keyasint,omitempty" json:"pipeline,omitempty" yaml:"pipeline,omitempty"`
	Service   *Service   `cbor:"7,keyasint,omitempty" json:"service,omitempty" yaml:"service,omitempty"`
	Pool      *Pool      `cbor:"8,keyasint,omitempty" json:"pool,omitempty" yaml:"pool,omitempty"`
	Workspace *Workspace `cbor:"9,keyasint,omitempty" json:"workspace,omitempty" yaml:"workspace,omitempty"`
}

// Sign is news of an upstream that one entry VM has seen for itself and that
// the platform's membership list does not show yet.
type Sign struct {
	Address string     `cbor:"1,keyasint" json:"address"`
	State   SignState  `cbor:"2,keyasint" json:"state"`
	From    ids.VMID   `cbor:"3,keyasint" json:"from"`
	AgeMS   uint32     `cbor:"4,keyasint" json:"age_ms"`
	Region  ids.Region `cbor:"5,keyasint,omitempty" json:"region,omitempty"`
}

// SignState is what a Sign says.
type SignState string

// States of a sign.
const (
	SignLeaving SignState = "leaving"
	SignRefused SignState = "refused"
)
