package config

import (
	"errors"
	"fmt"
	"time"
)

// Standin holds the settings of the simulators of the platform.
type Standin struct {
	Process Process `yaml:"process"`
	// Host is the IP address that all simulators listen on.
	Host Text `yaml:"host"`
	// Members and Weights are where the membership list and the weight store
	// listen.
	Members Text          `yaml:"members"`
	Weights Text          `yaml:"weights"`
	Pools   []StandinPool `yaml:"pools"`
	// LoadLag and MembersLag are how old reported loads and members are.
	LoadLag    Duration `yaml:"load_lag"`
	MembersLag Duration `yaml:"members_lag"`
	// WeightsPerSecond is the rate limit of the weight store.
	WeightsPerSecond Bytes `yaml:"weights_per_second"`
	Seed             int64 `yaml:"seed"`
}

// StandinPool is a pool of simulated runners at consecutive ports.
type StandinPool struct {
	Name      Text `yaml:"name"`
	Kind      Text `yaml:"kind"`
	Region    Text `yaml:"region"`
	Runners   int  `yaml:"runners"`
	FirstPort int  `yaml:"first_port"`
	// Latency is the time that a runner needs for one call.
	Latency Duration `yaml:"latency"`
	// Slots is how many calls a runner handles at a time.
	Slots int `yaml:"slots"`
	// ChecksFencing says that the runners reject an old fencing token.
	ChecksFencing bool `yaml:"checks_fencing"`
}

// DefaultStandin gives the defaults.
func DefaultStandin() *Standin {
	return &Standin{
		Process:          defaultProcess(),
		Host:             "127.0.0.1",
		Members:          "127.0.0.1:9000",
		Weights:          "127.0.0.1:9001",
		LoadLag:          Duration(500 * time.Millisecond),
		MembersLag:       Duration(2 * time.Second),
		WeightsPerSecond: 64 << 20,
		Seed:             1,
	}
}

// Bounds of the simulators' settings.
const (
	maxLag     = Duration(time.Minute)
	maxRunners = 1000
	maxSlots   = 10_000
	maxPort    = 65_535
	maxLatency = Duration(time.Minute)
	maxRate    = Bytes(1 << 40)
)

// Check rejects values that cannot work.
func (s *Standin) Check() error {
	errs := []error{
		s.Process.check(),
		checkListen("host", s.Host+":0"),
		checkListen("members", s.Members),
		checkListen("weights", s.Weights),
		checkRange("load_lag", s.LoadLag, 0, maxLag),
		checkRange("members_lag", s.MembersLag, 0, maxLag),
		checkRange("weights_per_second", s.WeightsPerSecond, 1, maxRate),
	}
	if len(s.Pools) == 0 {
		errs = append(errs, field("pools", "it is missing; list at least one pool"))
	}
	for i := range s.Pools {
		errs = append(errs, s.checkPool(i))
	}
	return errors.Join(errs...)
}

func (s *Standin) checkPool(i int) error {
	p := &s.Pools[i]
	path := fmt.Sprintf("pools[%d]", i)
	errs := []error{
		checkName(path+".name", p.Name),
		checkName(path+".region", p.Region),
		checkKind(path+".kind", p.Kind),
		checkRange(path+".runners", p.Runners, 1, maxRunners),
		checkRange(path+".first_port", p.FirstPort, 1, maxPort-p.Runners+1),
		checkRange(path+".latency", p.Latency, 0, maxLatency),
		checkRange(path+".slots", p.Slots, 1, maxSlots),
	}
	for j := range s.Pools[:i] {
		q := &s.Pools[j]
		if p.FirstPort < q.FirstPort+q.Runners && q.FirstPort < p.FirstPort+p.Runners {
			errs = append(errs, field(path+".first_port", "the ports of pool %s overlap with those of pool %s; move one of them", p.Name, q.Name))
		}
	}
	return errors.Join(errs...)
}

func checkKind(path string, s Text) error {
	switch s {
	case "encode", "retrieve", "rerank", "generate", "service":
		return nil
	}
	return field(path, "%q is no kind of pool; use encode, retrieve, rerank, generate or service", s)
}
