package settings

// Key is the name of a setting.
type Key string

// Keys of the settings. Specs returns their units, defaults and bounds.
const (
	DeadlineDefault         Key = "deadline.default"
	DeadlineMax             Key = "deadline.max"
	BodyMaxBytes            Key = "body.max_bytes"
	WorkspaceWeight         Key = "workspace.weight"
	PriorityDefault         Key = "priority.default"
	AdmissionMinLimit       Key = "admission.min_limit"
	AdmissionMaxLimit       Key = "admission.max_limit"
	AdmissionQueue          Key = "admission.queue"
	RetryBudgetPercent      Key = "retry.budget_percent"
	RetryMaxAttempts        Key = "retry.max_attempts"
	HedgeEnabled            Key = "hedge.enabled"
	HedgePercentile         Key = "hedge.percentile"
	EjectionMaxPercent      Key = "routing.ejection_max_percent"
	AllowedRegions          Key = "routing.allowed_regions"
	CrossRegionAllowed      Key = "routing.cross_region"
	CrossRegionPenalty      Key = "routing.cross_region_penalty"
	SlowStart               Key = "routing.slow_start"
	StreamTokenGap          Key = "stream.token_gap"
	StreamResumeRetention   Key = "stream.resume_retention"
	UpstreamProgressTimeout Key = "upstream.progress_timeout"
	AnswerRetention         Key = "ledger.answer_retention"
	LedgerGroups            Key = "ledger.groups"
	AuditBeforeDispatch     Key = "audit.before_dispatch"
	AuditRetention          Key = "audit.retention"
	WeightStoreRate         Key = "weights.bytes_per_second"
)
