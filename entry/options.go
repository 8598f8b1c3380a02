package entry

import (
	"fmt"
	"time"

	"damaskbridge.example/damaskbridge/buffers"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/upstream"
	"github.com/phuslu/log"
)

const (
	// renewInterval is the time between lease renewals.
	renewInterval = 500 * time.Millisecond
	// renewTimeout limits one renewal across all control VMs. It is shorter
	// than the lease term, so that a second attempt fits into the lease.
	renewTimeout = 1200 * time.Millisecond
	// dispatchWindow is how long the owner of a claim may dispatch, counted
	// from before the claim is proposed.
	dispatchWindow = 2 * time.Second
	// proposeTimeout limits one background proposal.
	proposeTimeout = 5 * time.Second
	// loadInterval is the time between polls of a runner's load. At least one
	// VM polls each runner once a second, so that a draining runner is detected
	// within 3 s.
	loadInterval = time.Second
)

// Options configure a Server. VM, Region, Listen, Control, Audit and MembersURL
// are required.
type Options struct {
	VM     ids.VMID
	Region ids.Region
	// Listen is the address for callers as "ip:port"; port 0 picks a free port.
	Listen string
	// Advertise is the address at which other entry VMs reach this one. The
	// default is Listen, unless that listens on all addresses.
	Advertise string
	Control   Control
	Audit     Recorder
	// MembersURL is the URL of the platform's membership list.
	MembersURL string
	// MembersInterval is the time between reads of the membership list. Default:
	// 1 s.
	MembersInterval time.Duration
	Upstream        upstream.Options
	// HeaderTimeout limits reading a caller's headers, IdleTimeout is how long
	// an idle caller connection is kept, and MaxHeaderBytes limits the size of the
	// headers in bytes. Defaults: 5 s, 2 min and 64 KiB.
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	MaxHeaderBytes int
	// Memory bounds the heads and bodies of requests, MaxConns the connections of
	// callers. Without them there is no bound. WriteTimeout is how long a caller may
	// take nothing of a response. Default: 2 min.
	Memory       *buffers.Memory
	MaxConns     int
	WriteTimeout time.Duration
	// DrainDelay is how long the listener stays open after the VM reports not
	// ready, so that the load balancer notices. Default 3 s.
	DrainDelay time.Duration
	// DrainTimeout is how long a drain waits for running requests once DrainDelay
	// has passed. Default 60 s.
	DrainTimeout time.Duration
	// Seed makes routing decisions reproducible; 0 derives a seed from the time.
	Seed   int64
	Logger *log.Logger
	// Policy replaces or disables parts of the traffic policy for comparison
	// measurements.
	Policy Policy
}

// Policy selects baselines for measurements. The zero value is the full traffic
// policy.
type Policy struct {
	// RoutingBaseline is the routing baseline: "random", "round_robin",
	// "least_outstanding", or "" for the full router.
	RoutingBaseline string
	NoHedge         bool
	NoAdmission     bool
}

// Check returns an error for the first required option that is missing.
func (o *Options) Check() error {
	switch {
	case o.VM == "":
		return fmt.Errorf("entry: VM is empty; set the VM's name")
	case o.Region == "":
		return fmt.Errorf("entry: region is empty; set the VM's region")
	case o.Listen == "":
		return fmt.Errorf("entry: listen address is empty; set ip:port")
	case o.Control == nil:
		return fmt.Errorf("entry: no control client; set the control VMs' addresses")
	case o.Audit == nil:
		return fmt.Errorf("entry: no audit recorder; set the control VMs' addresses")
	case o.MembersURL == "":
		return fmt.Errorf("entry: no membership list; set its URL")
	}
	return nil
}

func (o Options) withDefaults() Options {
	const (
		defaultDrainWait  = 3 * time.Second
		defaultDrainLimit = time.Minute

		defaultMembersInterval = time.Second
		defaultHeaderTimeout   = 5 * time.Second
		defaultIdleTimeout     = 2 * time.Minute
		defaultMaxHeader       = 64 << 10
	)
	if o.MembersInterval <= 0 {
		o.MembersInterval = defaultMembersInterval
	}
	if o.HeaderTimeout <= 0 {
		o.HeaderTimeout = defaultHeaderTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.MaxHeaderBytes <= 0 {
		o.MaxHeaderBytes = defaultMaxHeader
	}
	if o.DrainDelay <= 0 {
		o.DrainDelay = defaultDrainWait
	}
	if o.DrainTimeout <= 0 {
		o.DrainTimeout = defaultDrainLimit
	}
	if o.Seed == 0 {
		o.Seed = time.Now().UnixNano()
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Level: log.WarnLevel, Writer: log.IOWriter{Writer: discard{}}}
	}
	return o
}

// discard is an io.Writer that drops its input.
type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }
