package standin

import (
	"fmt"
	"net"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/relay"
	"damaskbridge.example/damaskbridge/settings"
)

// Upstream is one simulator of a fleet. Exactly one of Engine, Stage and
// Service is set.
type Upstream struct {
	Runner
	Kind    settings.StageKind
	Engine  *Engine
	Stage   *StagePool
	Service *Service
	// Server serves the simulator.
	Server *Server
	core   *core
}

// Address returns the upstream's own address.
func (u *Upstream) Address() string { return u.Server.Addr() }

// Journal returns what the upstream saw and executed.
func (u *Upstream) Journal() *Journal { return u.core.journal }

// Counters returns the upstream's counts.
func (u *Upstream) Counters() Counters { return u.core.Counters() }

// Load returns the upstream's load as it reports it.
func (u *Upstream) Load() LoadReport { return u.core.Load() }

// RealLoad returns the upstream's present load.
func (u *Upstream) RealLoad() (running, waiting int) { return u.core.RealLoad() }

// Faulty says whether a fault is in force at the upstream.
func (u *Upstream) Faulty(kind FaultKind) bool {
	_, ok := u.core.faults.get(kind)
	return ok
}

// Fleet is a running deployment of simulators. It is safe for concurrent use.
type Fleet struct {
	config    FleetConfig
	members   *Members
	weights   *Weights
	upstreams []*Upstream
	byVM      map[ids.VMID]*Upstream
	keys      map[string]*KeyCount
	admin     *Server
	store     *Server
	// network and crossings are nil without links between regions.
	network   *relay.Network
	crossings crossings
}

// StartFleet starts the upstreams of a description and the fleet's own
// addresses. Close ends them.
func StartFleet(c FleetConfig) (*Fleet, error) {
	c.setDefaults()
	if err := c.Check(); err != nil {
		return nil, err
	}
	f := &Fleet{
		config:  c,
		members: NewMembers(MembersOptions{Lag: c.MembersLag}),
		weights: NewWeights(WeightsOptions{Common: Common{TimeScale: c.TimeScale}, BytesPerSecond: c.WeightsBytesPerSecond}),
		byVM:    map[ids.VMID]*Upstream{},
		keys:    map[string]*KeyCount{},
	}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	var err error
	if f.store, err = Serve("127.0.0.1:0", f.weights); err != nil {
		return err
	}
	hosts := map[ids.Region]int{}
	for _, p := range f.config.Pools {
		for index, region := range f.config.Regions {
			for range p.Runners[region] {
				host := f.config.FirstHost + hosts[region]
				hosts[region]++
				ip := fmt.Sprintf("127.0.%d.%d", index+1, host)
				if err := f.add(p, region, ip); err != nil {
					return err
				}
			}
		}
	}
	if err := f.link(); err != nil {
		return err
	}
	f.showMembers()
	f.admin, err = Serve(f.config.AdminAddress, f.adminHandler())
	return err
}

// add starts one upstream.
func (f *Fleet) add(p PoolConfig, region ids.Region, ip string) error {
	n := 1
	for _, u := range f.upstreams {
		if u.Pool == p.Name && u.Region == region {
			n++
		}
	}
	vm := ids.VMID(fmt.Sprintf("%s-%s-%d", p.Name, region, n))
	u := f.build(p, Runner{VM: vm, Pool: p.Name, Region: region})
	server, err := Serve(net.JoinHostPort(ip, strconv.Itoa(f.config.Port)), u.handler())
	if err != nil {
		u.core.Close()
		return err
	}
	u.Server = server
	f.upstreams = append(f.upstreams, u)
	f.byVM[vm] = u
	return nil
}

func (f *Fleet) build(p PoolConfig, r Runner) *Upstream {
	common := Common{Runner: r, TimeScale: f.config.TimeScale, LoadLag: f.config.LoadLag}
	u := &Upstream{Runner: r, Kind: p.Kind}
	switch p.Kind {
	case settings.KindGenerate:
		u.Engine = NewEngine(EngineOptions{
			Common: common, MaxBatch: p.MaxBatch, MaxWaiting: p.MaxWaiting, StepBase: p.Base,
			CacheBlocks: p.CacheBlocks, EventDelay: p.EventDelay, EventGap: p.EventGap,
			ChecksFencing: p.ChecksFencing, Models: p.Models, Adapters: p.Adapters,
			WeightsURL: f.store.URL(),
		})
		u.core = u.Engine.core
	case settings.KindService:
		if f.keys[p.Name] == nil {
			f.keys[p.Name] = NewKeyCount()
		}
		u.Service = NewService(ServiceOptions{
			Common: common, Keys: f.keys[p.Name], Base: p.Base, Slots: p.Slots, MaxWaiting: p.MaxWaiting,
		})
		u.core = u.Service.core
	default:
		u.Stage = NewStagePool(StagePoolOptions{
			Common: common, Kind: string(p.Kind), Base: p.Base, Slots: p.Slots, MaxWaiting: p.MaxWaiting,
		})
		u.core = u.Stage.core
	}
	return u
}

func (u *Upstream) handler() http.Handler {
	switch {
	case u.Engine != nil:
		return u.Engine
	case u.Service != nil:
		return u.Service
	default:
		return u.Stage
	}
}

func (u *Upstream) close() {
	u.Server.Close()
	if u.Engine != nil {
		u.Engine.Close()
	}
	u.core.Close()
}

// showMembers fills the membership list, without lag for the first list.
func (f *Fleet) showMembers() {
	all := make([]Member, 0, len(f.upstreams))
	for _, u := range f.upstreams {
		all = append(all, f.member(u))
	}
	f.members.start(all)
}

func (f *Fleet) member(u *Upstream) Member {
	return Member{VM: u.VM, Address: u.Address(), Pool: u.Pool, Region: u.Region, State: Live}
}

// Close ends the fleet.
func (f *Fleet) Close() {
	for _, u := range f.upstreams {
		u.close()
	}
	for _, s := range []*Server{f.admin, f.store} {
		if s != nil {
			s.Close()
		}
	}
	f.weights.Close()
	if f.network != nil {
		f.network.Close()
	}
}

// Config returns the description with its defaults.
func (f *Fleet) Config() FleetConfig { return f.config }

// Members returns the membership list.
func (f *Fleet) Members() *Members { return f.members }

// MembersURL returns the URL of the membership list with the upstreams' own
// addresses.
func (f *Fleet) MembersURL() string { return f.admin.URL() + "/members" }

// RegionMembersURL returns the URL of the membership list for callers in one
// region: upstreams of other regions are listed with addresses that lead over
// the links. Without links it lists the same as MembersURL.
func (f *Fleet) RegionMembersURL(region ids.Region) string {
	return f.admin.URL() + "/regions/" + url.PathEscape(string(region)) + "/members"
}

// Network returns the links between regions, nil without links.
func (f *Fleet) Network() *relay.Network { return f.network }

// AdminURL returns the base URL of the fleet's switches and counters.
func (f *Fleet) AdminURL() string { return f.admin.URL() }

// WeightsURL returns the base URL of the weight store.
func (f *Fleet) WeightsURL() string { return f.store.URL() }

// Weights returns the weight store.
func (f *Fleet) Weights() *Weights { return f.weights }

// Upstreams returns all upstreams in a fixed order.
func (f *Fleet) Upstreams() []*Upstream { return f.upstreams }

// Upstream returns the upstream of a VM.
func (f *Fleet) Upstream(vm ids.VMID) (*Upstream, bool) {
	u, ok := f.byVM[vm]
	return u, ok
}

// Pool returns a pool's upstreams.
func (f *Fleet) Pool(name string) []*Upstream {
	return f.Select(Selector{Pool: name})
}

// Selector chooses upstreams; empty fields choose all.
type Selector struct {
	VM     ids.VMID   `json:"vm,omitempty" yaml:"vm,omitempty"`
	Pool   string     `json:"pool,omitempty" yaml:"pool,omitempty"`
	Region ids.Region `json:"region,omitempty" yaml:"region,omitempty"`
}

// Select returns the chosen upstreams in a fixed order.
func (f *Fleet) Select(s Selector) []*Upstream {
	var chosen []*Upstream
	for _, u := range f.upstreams {
		if (s.VM == "" || s.VM == u.VM) && (s.Pool == "" || s.Pool == u.Pool) && (s.Region == "" || s.Region == u.Region) {
			chosen = append(chosen, u)
		}
	}
	return chosen
}

// Fault uses a fault switch on the chosen upstreams. Draining ones show as
// leaving in the membership list, after its lag.
func (f *Fleet) Fault(s Selector, fault Fault) error {
	chosen := f.Select(s)
	if len(chosen) == 0 {
		return fmt.Errorf("standin: no upstream matches vm %q, pool %q, region %q", s.VM, s.Pool, s.Region)
	}
	for _, u := range chosen {
		if err := u.core.Fault(fault); err != nil {
			return err
		}
		switch fault.Kind {
		case FaultDrain:
			f.members.SetState(u.VM, Leaving)
		case FaultReturn:
			f.members.SetState(u.VM, Live)
		}
	}
	return nil
}

// Counters returns the sum over the chosen upstreams.
func (f *Fleet) Counters(s Selector) Counters {
	var sum Counters
	for _, u := range f.Select(s) {
		sum.Add(u.Counters())
	}
	return sum
}

// Ran returns how many executions began anywhere for a request.
func (f *Fleet) Ran(request string) int {
	sum := 0
	for _, u := range f.upstreams {
		sum += u.Journal().Ran(request)
	}
	return sum
}

// Executions returns how often a key executed, over all services.
func (f *Fleet) Executions(key string) int {
	sum := 0
	for _, k := range f.keys {
		sum += k.Executions(key)
	}
	return sum
}

// Duplicates returns the keys that executed more than once at one service.
func (f *Fleet) Duplicates() []string {
	var keys []string
	for _, k := range f.keys {
		keys = append(keys, k.Duplicates()...)
	}
	sort.Strings(keys)
	return keys
}

// Quiet says whether no upstream has work at this moment.
func (f *Fleet) Quiet() bool {
	for _, u := range f.upstreams {
		if running, waiting := u.RealLoad(); running+waiting > 0 {
			return false
		}
	}
	return true
}

// AwaitQuiet waits until no upstream has work, at most for a limit. It is
// false if the limit passed.
func (f *Fleet) AwaitQuiet(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f.Quiet() {
			return true
		}
	}
	return f.Quiet()
}
