package control

import (
	"fmt"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wal"
)

// Options configures a Replica and its Server. Zero durations and counts select
// the defaults of this package.
type Options struct {
	Self  ids.VMID
	Group ids.GroupID
	// Addr is the "ip:port" at which others reach this VM. It may be empty if
	// the VM is one of Peers.
	Addr string
	// Peers lists the control VMs that form the group. Other control VMs join
	// as learners and grant leases to their entry VMs.
	Peers []Peer
	// Seeds returns the addresses of some control VMs and replaces Peers where
	// control VMs discover each other. Every VM's name is then its address.
	// Later calls may return other addresses. Nil means that Peers lists the
	// group.
	Seeds func() []string
	// Bootstrap allows the seeds to start a new group. It is set only at the
	// first start of the whole system.
	Bootstrap bool
	// TargetVoters is the number of voters that a group discovered through
	// seeds maintains. A majority of them stores every document.
	TargetVoters int
	// Dir is the directory of this group's files.
	Dir string
	// FS is the file system; nil means the operating system's.
	FS      wal.FS
	Machine StateMachine
	Views   Views
	// Freeze is called on the replica's goroutine and returns a function that
	// encodes the state of that moment on another goroutine, in the format of
	// Machine.Snapshot. Nil means Machine.Snapshot, which delays the heartbeats
	// while it runs.
	Freeze func() (encode func() ([]byte, error))
	// Clock returns the time of the next command in milliseconds since the Unix
	// epoch. It is called on the replica's goroutine. Nil means the wall clock.
	Clock  func() int64
	Caller transport.Caller
	// Tick is the unit of ElectionTicks, HeartbeatTicks and VoteDelayTicks.
	Tick           time.Duration
	ElectionTicks  int
	HeartbeatTicks int
	// VoteDelayTicks is raft.Config.VoteDelayTicks. 0 means ElectionTicks, the
	// only safe value where entry VMs hold settings leases.
	VoteDelayTicks int
	// LeaseTerm is the duration of the entry VMs' settings leases.
	LeaseTerm time.Duration
	// SessionExpiry is how long a session stays open without a renewal.
	SessionExpiry time.Duration
	// ReportInterval is the interval between reports to the leader.
	ReportInterval time.Duration
	// RetireInterval is the interval between the leader's Retire commands.
	RetireInterval time.Duration
	// SnapshotEntries is the number of applied entries between snapshots.
	SnapshotEntries uint64
	// AdminHandler serves the admin API on the HTTP listener. It may be nil.
	AdminHandler http.Handler
	Logger       *log.Logger
}

const (
	// With defaultTick an election starts 0.8 to 1.6 s after the last
	// heartbeat, so that a new leader is elected before the settings leases of
	// 3 s expire.
	defaultTick           = 40 * time.Millisecond
	defaultElectionTicks  = 20
	defaultHeartbeatTicks = 2
	defaultLeaseTerm      = 3 * time.Second
	defaultSessionExpiry  = 5 * time.Second
	// With defaultReportInterval an observation passes through two control VMs in
	// half a second, so that the next Renew (every 500 ms) delivers it about a
	// second after the state was observed.
	defaultReportInterval  = 250 * time.Millisecond
	defaultSnapshotEntries = 10_000
	defaultRetireInterval  = 10 * time.Second
	// defaultTargetVoters tolerates the loss of two disks.
	defaultTargetVoters = 5
)

func (o *Options) setDefaults() {
	if o.FS == nil {
		o.FS = wal.OS()
	}
	if o.Clock == nil {
		o.Clock = func() int64 { return time.Now().UnixMilli() }
	}
	setDuration(&o.Tick, defaultTick)
	setDuration(&o.LeaseTerm, defaultLeaseTerm)
	setDuration(&o.SessionExpiry, defaultSessionExpiry)
	setDuration(&o.ReportInterval, defaultReportInterval)
	setDuration(&o.RetireInterval, defaultRetireInterval)
	if o.ElectionTicks == 0 {
		o.ElectionTicks = defaultElectionTicks
	}
	if o.HeartbeatTicks == 0 {
		o.HeartbeatTicks = defaultHeartbeatTicks
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = defaultSnapshotEntries
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Level: log.PanicLevel}
	}
	if o.TargetVoters == 0 {
		o.TargetVoters = defaultTargetVoters
	}
	o.Peers = withDefaultVoters(o.Peers)
	if p, ok := o.peer(o.Self); ok && o.Addr == "" {
		o.Addr = p.Addr
	}
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// validate returns an error for missing or inconsistent options.
func (o *Options) validate() error {
	if o.Addr == "" {
		return fmt.Errorf("control: VM %q has no address; add it to the peers or set its address", o.Self)
	}
	if o.Machine == nil || o.Caller == nil || o.Views.Settings == nil || o.Views.Sessions == nil {
		return fmt.Errorf("control: Machine, Views and Caller must be set")
	}
	// A session must expire later than its lease, with a margin for one report
	// to the leader; otherwise it could expire under a valid lease.
	if o.SessionExpiry < o.LeaseTerm+4*o.ReportInterval {
		return fmt.Errorf("control: session expiry %v is too short; use at least the lease term and four report intervals, %v", o.SessionExpiry, o.LeaseTerm+4*o.ReportInterval)
	}
	return nil
}

func (o *Options) peer(vm ids.VMID) (Peer, bool) {
	for _, p := range o.Peers {
		if p.VM == vm {
			return p, true
		}
	}
	return Peer{}, false
}
