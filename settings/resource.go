package settings

import "damaskbridge.example/damaskbridge/ids"

// StageKind is the kind of work that a stage, or the upstreams of a pool, do.
type StageKind string

// Kinds of stages and pools. KindService is the kind of pools of services and is
// not valid for a stage of a pipeline.
const (
	KindEncode   StageKind = "encode"
	KindRetrieve StageKind = "retrieve"
	KindRerank   StageKind = "rerank"
	KindGenerate StageKind = "generate"
	KindService  StageKind = "service"
)

// Stage is one step of a pipeline, executed by a runner of its pool.
type Stage struct {
	Name string    `cbor:"1,keyasint" json:"name" yaml:"name"`
	Kind StageKind `cbor:"2,keyasint" json:"kind" yaml:"kind"`
	Pool string    `cbor:"3,keyasint" json:"pool" yaml:"pool"`
	// Model is the model that a generate stage requests; empty for other kinds.
	Model string `cbor:"4,keyasint,omitempty" json:"model,omitempty" yaml:"model,omitempty"`
	// Adapter is the adapter that a generate stage requests, if any.
	Adapter string `cbor:"5,keyasint,omitempty" json:"adapter,omitempty" yaml:"adapter,omitempty"`
}

// Pipeline is a sequence of stages. Only the last stage may be of kind
// KindGenerate.
type Pipeline struct {
	Name   string  `cbor:"1,keyasint" json:"name" yaml:"name"`
	Stages []Stage `cbor:"2,keyasint" json:"stages" yaml:"stages"`
}

// Service is an upstream service that is called directly, without a pipeline.
type Service struct {
	Name string `cbor:"1,keyasint" json:"name" yaml:"name"`
	Pool string `cbor:"2,keyasint" json:"pool" yaml:"pool"`
	// RepeatableOps lists the operations that may run more than once. All other
	// operations require an Idempotency-Key and run at most once.
	RepeatableOps []string `cbor:"3,keyasint,omitempty" json:"repeatable_ops,omitempty" yaml:"repeatable_ops,omitempty"`
}

// Repeatable reports whether op may be sent to an upstream more than once.
func (s *Service) Repeatable(op string) bool {
	for _, r := range s.RepeatableOps {
		if r == op {
			return true
		}
	}
	return false
}

// Pool is a set of upstreams of one kind. Its runners are those that the
// platform's membership list lists under the pool's name.
type Pool struct {
	Name string    `cbor:"1,keyasint" json:"name" yaml:"name"`
	Kind StageKind `cbor:"2,keyasint" json:"kind" yaml:"kind"`
	// ChecksFencing is true if the pool's runners reject orders with an old
	// fencing token. If it is false, a new holder of the right to give orders
	// waits until no order of its predecessor can arrive any more.
	ChecksFencing bool `cbor:"3,keyasint,omitempty" json:"checks_fencing,omitempty" yaml:"checks_fencing,omitempty"`
}

// Workspace is a tenant. Its values are looked up at Branch and inherited from
// the branches above it.
type Workspace struct {
	Name   string `cbor:"1,keyasint" json:"name" yaml:"name"`
	Branch string `cbor:"2,keyasint" json:"branch" yaml:"branch"`
	// TokenSHA256 lists the hex SHA-256 digests of the tokens that authenticate
	// callers of this workspace. It has two digests while a token is rotated.
	TokenSHA256 []string `cbor:"3,keyasint" json:"token_sha256" yaml:"token_sha256"`
	Pipelines   []string `cbor:"4,keyasint,omitempty" json:"pipelines,omitempty" yaml:"pipelines,omitempty"`
	Services    []string `cbor:"5,keyasint,omitempty" json:"services,omitempty" yaml:"services,omitempty"`
}

// EffectiveValue is the value of a key at a branch and the branch that sets it.
type EffectiveValue struct {
	Value  string `cbor:"1,keyasint" json:"value"`
	Branch string `cbor:"2,keyasint" json:"branch"`
	// Default is true if no branch sets the value.
	Default bool `cbor:"3,keyasint" json:"default"`
	// Version is the tree version in which the value was set; 0 for a default.
	Version uint64 `cbor:"4,keyasint" json:"version"`
}

// ApplyState is the outcome of applying a change.
type ApplyState string

// Outcomes of applying a change. Conflict means that the change's base is older
// than the current version; Invalid, that it was rejected for another reason.
const (
	Accepted ApplyState = "accepted"
	Conflict ApplyState = "conflict"
	Invalid  ApplyState = "invalid"
)

// ChangeResult is the result of a change that the operator receives. A repeated
// change with the same id receives the same result.
type ChangeResult struct {
	State   ApplyState `cbor:"1,keyasint" json:"state"`
	Version uint64     `cbor:"2,keyasint" json:"version"`
	Detail  string     `cbor:"3,keyasint,omitempty" json:"detail,omitempty"`
	// Winner is the accepted change that a conflicting change lost to.
	Winner *Change `cbor:"4,keyasint,omitempty" json:"winner,omitempty"`
}

// Change is a compare-and-set on the tree: it is accepted only if Base is the
// current version.
type Change struct {
	// ID is chosen by the operator's tool, which repeats a change with the same
	// id.
	ID       string `cbor:"1,keyasint" json:"id" yaml:"id"`
	Operator string `cbor:"2,keyasint" json:"operator" yaml:"operator"`
	// Base is the tree version that the change was prepared against.
	Base uint64 `cbor:"3,keyasint" json:"base" yaml:"base"`
	// Version is the tree version that the change created, set on acceptance.
	Version uint64 `cbor:"4,keyasint,omitempty" json:"version,omitempty" yaml:"version,omitempty"`
	// AtUnixMS is the leader's wall-clock time at acceptance. It is shown to
	// operators and determines the retention of the change's result.
	AtUnixMS int64 `cbor:"5,keyasint,omitempty" json:"at_unix_ms,omitempty" yaml:"at_unix_ms,omitempty"`
	Ops      []Op  `cbor:"6,keyasint" json:"ops" yaml:"ops"`
}

// OpKind is the kind of an Op.
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

// Op is one operation of a change. Only the fields of its kind are set.
type Op struct {
	Kind OpKind `cbor:"1,keyasint" json:"kind" yaml:"kind"`
	// Branch is a slash-separated path; empty for the root.
	Branch    string     `cbor:"2,keyasint,omitempty" json:"branch,omitempty" yaml:"branch,omitempty"`
	Key       Key        `cbor:"3,keyasint,omitempty" json:"key,omitempty" yaml:"key,omitempty"`
	Value     string     `cbor:"4,keyasint,omitempty" json:"value,omitempty" yaml:"value,omitempty"`
	Name      string     `cbor:"5,keyasint,omitempty" json:"name,omitempty" yaml:"name,omitempty"`
	Pipeline  *Pipeline  `cbor:"6,keyasint,omitempty" json:"pipeline,omitempty" yaml:"pipeline,omitempty"`
	Service   *Service   `cbor:"7,keyasint,omitempty" json:"service,omitempty" yaml:"service,omitempty"`
	Pool      *Pool      `cbor:"8,keyasint,omitempty" json:"pool,omitempty" yaml:"pool,omitempty"`
	Workspace *Workspace `cbor:"9,keyasint,omitempty" json:"workspace,omitempty" yaml:"workspace,omitempty"`
}

// Observation is a state of an upstream that one entry VM has observed and that
// the platform's membership list does not show yet.
type Observation struct {
	Address string        `cbor:"1,keyasint" json:"address"`
	State   ObservedState `cbor:"2,keyasint" json:"state"`
	From    ids.VMID      `cbor:"3,keyasint" json:"from"`
	AgeMS   uint32        `cbor:"4,keyasint" json:"age_ms"`
	Region  ids.Region    `cbor:"5,keyasint,omitempty" json:"region,omitempty"`
}

// ObservedState is the observed state of an upstream.
type ObservedState string

// Observed states: ObservedLeaving is an upstream that shuts down,
// ObservedRefused one that refuses connections.
const (
	ObservedLeaving ObservedState = "leaving"
	ObservedRefused ObservedState = "refused"
)
