package standin

import "time"

// EngineOptions configure one model engine.
type EngineOptions struct {
	Common
	// MaxBatch is the number of sequences in one step; the default is 32.
	MaxBatch int
	// MaxWaiting is the number of queued sequences above which new calls are
	// rejected; the default is 128.
	MaxWaiting int
	// StepBase is the time of a step with one sequence; the default is 8 ms.
	StepBase time.Duration
	// StepPerSequence is added for each further sequence; the default is
	// 0.25 ms.
	StepPerSequence time.Duration
	// PrefillPerToken is added for each prompt token that is not cached; the
	// default is 0.03 ms.
	PrefillPerToken time.Duration
	// CacheBlocks is the memory of the prefix cache in blocks of
	// content.BlockTokens tokens; the default is 4096.
	CacheBlocks int
	// EventDelay is the time after which a cache event is published.
	EventDelay time.Duration
	// EventGap drops every EventGap-th cache event for good; 0 drops none.
	EventGap int
	// ChecksFencing makes the engine reject orders with an old fencing token.
	// Otherwise it executes them.
	ChecksFencing bool
	// Models are the models loaded at the start. An engine without any accepts
	// every model name.
	Models []string
	// Adapters are the adapters loaded at the start.
	Adapters []string
	// Role is the role at the start; the default is "mixed".
	Role string
	// WeightsURL is the base URL of the weight store from which models and
	// adapters are drawn; without it they load from nowhere.
	WeightsURL string
	// ModelBytes and AdapterBytes are drawn for a model and an adapter, in
	// draws of DrawBytes. The defaults are 16 GiB, 256 MiB and 128 MiB.
	ModelBytes, AdapterBytes, DrawBytes int64
	// LoadTime is the simulated time of loading a drawn model; the default is
	// 5 s.
	LoadTime time.Duration
}

func (o *EngineOptions) setDefaults() {
	setInt(&o.MaxBatch, 32)
	setInt(&o.MaxWaiting, 128)
	setInt(&o.CacheBlocks, 4096)
	setDuration(&o.StepBase, 8*time.Millisecond)
	setDuration(&o.StepPerSequence, 250*time.Microsecond)
	setDuration(&o.PrefillPerToken, 30*time.Microsecond)
	setDuration(&o.LoadTime, 5*time.Second)
	setBytes(&o.ModelBytes, 16<<30)
	setBytes(&o.AdapterBytes, 256<<20)
	setBytes(&o.DrawBytes, 128<<20)
	if o.Role == "" {
		o.Role = "mixed"
	}
}

func setInt(v *int, standard int) {
	if *v == 0 {
		*v = standard
	}
}

func setDuration(v *time.Duration, standard time.Duration) {
	if *v == 0 {
		*v = standard
	}
}

func setBytes(v *int64, standard int64) {
	if *v == 0 {
		*v = standard
	}
}
