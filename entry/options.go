package entry

import (
	"fmt"
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/upstream"
	"github.com/phuslu/log"
)

const (
	// renewInterval is the time between renewals.
	renewInterval = 500 * time.Millisecond
	// renewTimeout limits one renewal over all control VMs; it is shorter
	// than the lease term, so that a second try fits into the lease.
	renewTimeout = 1200 * time.Millisecond
	// dispatchWindow is the time from before a claim is sent in which its
	// owner may dispatch.
	dispatchWindow = 2 * time.Second
	// proposeTimeout limits one background proposal.
	proposeTimeout = 5 * time.Second
	// loadInterval is the time between reads of a runner's load. Each runner is
	// heard once a second by at least one VM, so that one that drains is found
	// out within the bound of 3 s.
	loadInterval = time.Second
)

// Options are what a Server needs. All fields but the durations are required.
type Options struct {
	VM     ids.VMID
	Region ids.Region
	// Listen is the address for callers, "ip:port"; port 0 picks one.
	Listen string
	// Advertise is the address at which other entry VMs reach Listen. Default
	// is Listen, if that names one address.
	Advertise string
	Control   Control
	Audit     Recorder
	// MembersURL is the platform's membership list.
	MembersURL string
	// MembersEvery is the time between reads of the list. Default 1 s.
	MembersEvery time.Duration
	Upstream     upstream.Options
	// HeaderTimeout limits the reading of a caller's headers, IdleTimeout the
	// time that an unused connection of a caller is kept, and MaxHeader the
	// bytes of the headers. Defaults 5 s, 2 min and 64 KiB.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	MaxHeader     int
	// DrainWait is how long the listener stays open after the VM has reported
	// not ready, so that the load balancer notices. Default 3 s.
	DrainWait time.Duration
	// DrainLimit is how long a drain waits for requests. Default 60 s.
	DrainLimit time.Duration
	// Seed makes routing decisions reproducible; 0 takes one from the time.
	Seed   int64
	Logger *log.Logger
	// Policy switches parts of the policy off for comparisons.
	Policy Policy
}

// Policy chooses baselines for measurements. The zero value is the full policy.
type Policy struct {
	// Picker is "", "random", "round_robin" or "least_outstanding".
	Picker      string
	NoHedge     bool
	NoAdmission bool
}

// Check reports the first missing or contradictory option.
func (o *Options) Check() error {
	switch {
	case o.VM == "":
		return fmt.Errorf("entry: VM is empty; set the VM's name")
	case o.Region == "":
		return fmt.Errorf("entry: region is empty; set the VM's region")
	case o.Listen == "":
		return fmt.Errorf("entry: listen address is empty; set ip:port")
	case o.Control == nil:
		return fmt.Errorf("entry: no control client; give the control VMs' addresses")
	case o.Audit == nil:
		return fmt.Errorf("entry: no audit recorder; give the control VMs' addresses")
	case o.MembersURL == "":
		return fmt.Errorf("entry: no membership list; set its URL")
	}
	return nil
}

func (o Options) withDefaults() Options {
	const (
		defaultDrainWait  = 3 * time.Second
		defaultDrainLimit = time.Minute

		defaultMembersEvery  = time.Second
		defaultHeaderTimeout = 5 * time.Second
		defaultIdleTimeout   = 2 * time.Minute
		defaultMaxHeader     = 64 << 10
	)
	if o.MembersEvery <= 0 {
		o.MembersEvery = defaultMembersEvery
	}
	if o.HeaderTimeout <= 0 {
		o.HeaderTimeout = defaultHeaderTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.MaxHeader <= 0 {
		o.MaxHeader = defaultMaxHeader
	}
	if o.DrainWait <= 0 {
		o.DrainWait = defaultDrainWait
	}
	if o.DrainLimit <= 0 {
		o.DrainLimit = defaultDrainLimit
	}
	if o.Seed == 0 {
		o.Seed = time.Now().UnixNano()
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Level: log.WarnLevel, Writer: log.IOWriter{Writer: discard{}}}
	}
	return o
}

// discard is a writer that drops everything.
type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }
