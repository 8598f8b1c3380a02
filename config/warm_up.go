package config

// WarmUp bounds what a runner that warms up gets in any one second from all entry
// VMs together: its service's rate x Excess + Slack requests. If both are 0, runners
// that warm up are used like others.
type WarmUp struct {
	Excess float64 `yaml:"excess"`
	Slack  float64 `yaml:"slack"`
}

// IsSet reports whether runners that warm up are limited.
func (w WarmUp) IsSet() bool { return w.Excess > 0 || w.Slack > 0 }

func (w WarmUp) check() error {
	if w.Excess < 0 || w.Slack < 0 {
		return newFieldError("warm_up", "%g and %g must not be negative; set both to 0 for no limit", w.Excess, w.Slack)
	}
	return nil
}
