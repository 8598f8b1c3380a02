package directory

import (
	"fmt"
	"net/netip"
)

// maxSlots is the maximum number of requests that one runner can work on.
const maxSlots = 1 << 20

// InvalidRunnerError says why an entry of the list names no runner to use.
type InvalidRunnerError struct {
	Field  string
	Reason string
}

func (e *InvalidRunnerError) Error() string {
	return fmt.Sprintf("directory: the field %s of a runner's entry %s; correct the entry", e.Field, e.Reason)
}

// Check returns an *InvalidRunnerError if requests cannot be sent to the runner.
func (r *Runner) Check() error {
	fields := []struct{ name, value string }{{"id", r.ID}, {"service", r.Service}, {"zone", r.Zone}}
	for _, f := range fields {
		if f.value == "" {
			return &InvalidRunnerError{Field: f.name, Reason: "is missing"}
		}
	}
	addr, err := netip.ParseAddrPort(r.Addr)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast() {
		return &InvalidRunnerError{Field: "address", Reason: "names no port of a machine"}
	}
	if r.Slots <= 0 || r.Slots > maxSlots {
		return &InvalidRunnerError{Field: "slots", Reason: fmt.Sprintf("is not between 1 and %d", maxSlots)}
	}
	return nil
}
