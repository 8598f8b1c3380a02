package load

import "time"

// Report is the result of one run.
type Report struct {
	Seed          uint64  `json:"seed"`
	RatePerSecond float64 `json:"rate_per_second"`
	Seconds       float64 `json:"seconds"`
	// Requests is the number of scheduled requests.
	Requests int `json:"requests"`
	// Attainment is the part of the requests that ended as OK.
	Attainment float64         `json:"attainment"`
	Outcomes   map[Outcome]int `json:"outcomes"`
	// Reasons counts the reasons of final problems.
	Reasons map[string]int `json:"reasons"`
	// Tries counts all tries, Resumes the streams resumed and InProgress the
	// answers that a key is still running.
	Tries      int `json:"tries"`
	Resumes    int `json:"resumes"`
	InProgress int `json:"in_progress"`
	// Replayed counts stored responses.
	Replayed int `json:"replayed"`
	// FalseRefusals counts not_run answers, also of tries that were repeated,
	// whose request had run.
	FalseRefusals int `json:"false_refusals"`
	// CheckedRefusals counts the not_run answers that were checked.
	CheckedRefusals int `json:"checked_refusals"`
	// DuplicateKeys lists keys that executed more than once.
	DuplicateKeys []string `json:"duplicate_keys"`
	// LostKeys lists keys that were confirmed and never executed.
	LostKeys []string `json:"lost_keys"`
	// ScheduleLag is how late requests were sent by the generator itself.
	ScheduleLag Percentiles              `json:"schedule_lag"`
	Kinds       map[Kind]*KindSummary    `json:"kinds"`
	Workspaces  map[string]*PartSummary  `json:"workspaces"`
	Entries     map[string]*PartSummary  `json:"entries"`
	Stages      map[string]*StageSummary `json:"stages"`
	// CrossRegionBytes is the sum from the responses.
	CrossRegionBytes int64 `json:"cross_region_bytes"`
	// RepeatsChecked counts keys repeated at another entry VM whose response
	// was the stored one.
	RepeatsChecked int `json:"repeats_checked"`
	// Notes are examples of what went wrong, at most a few.
	Notes []string `json:"notes,omitempty"`
}

// KindSummary is the part of one kind.
type KindSummary struct {
	Requests   int             `json:"requests"`
	Attainment float64         `json:"attainment"`
	Outcomes   map[Outcome]int `json:"outcomes"`
	// Latency counts from the scheduled time, over all requests but refused
	// ones.
	Latency    Percentiles `json:"latency"`
	FirstToken Percentiles `json:"first_token"`
	InterToken Percentiles `json:"inter_token"`
}

// PartSummary is the part of one workspace or entry VM.
type PartSummary struct {
	Requests   int             `json:"requests"`
	Attainment float64         `json:"attainment"`
	Outcomes   map[Outcome]int `json:"outcomes"`
}

// StageSummary is the cost of one stage, summed over responses.
type StageSummary struct {
	Calls       int     `json:"calls"`
	Attempts    int     `json:"attempts"`
	CostUnits   float64 `json:"cost_units"`
	Millis      float64 `json:"ms"`
	OtherRegion int     `json:"other_region"`
}

// Percentiles are in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
