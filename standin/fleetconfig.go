package standin

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/settings"
)

// FleetConfig describes a deployment's upstreams.
type FleetConfig struct {
	// Name is the name of the deployment.
	Name string `yaml:"name"`
	// Regions are numbered from 1 in this order: region R uses the addresses
	// 127.0.R.N.
	Regions []ids.Region `yaml:"regions"`
	// FirstHost is the N of the first upstream of a region; the default is 11.
	FirstHost int `yaml:"first_host"`
	// Port is the port of every upstream; 0 lets the system choose.
	Port int `yaml:"port"`
	// AdminAddress serves the list of members and the switches of the whole
	// fleet; the default is "127.0.0.1:0".
	AdminAddress string `yaml:"admin_address"`
	// TimeScale multiplies all simulated working times; the default is 1.
	TimeScale float64 `yaml:"time_scale"`
	// LoadLag is the age of load reports; the default is 250 ms.
	LoadLag time.Duration `yaml:"load_lag"`
	// MembersLag is the delay of the membership list; the default is 1 s.
	MembersLag time.Duration `yaml:"members_lag"`
	// WeightsBytesPerSecond is the rate of the weight store.
	WeightsBytesPerSecond int64 `yaml:"weights_bytes_per_second"`
	// Links describes the links between regions; without it there are none and
	// every upstream is reached directly.
	Links *LinksConfig `yaml:"links"`
	Pools []PoolConfig `yaml:"pools"`
}

// LinksConfig describes the links between regions.
type LinksConfig struct {
	// OneWayDelay is the delay of one direction.
	OneWayDelay time.Duration `yaml:"one_way_delay"`
	// BytesPerSecond is the bandwidth of one direction; 0 means no limit.
	BytesPerSecond int64 `yaml:"bytes_per_second"`
}

// PoolConfig describes one pool.
type PoolConfig struct {
	Name string             `yaml:"name"`
	Kind settings.StageKind `yaml:"kind"`
	// Runners is the number of runners by region.
	Runners map[ids.Region]int `yaml:"runners"`
	// ChecksFencing is for engines; see EngineOptions.
	ChecksFencing bool `yaml:"checks_fencing"`
	// Models and Adapters are loaded on engines at the start.
	Models   []string `yaml:"models"`
	Adapters []string `yaml:"adapters"`
	// MaxBatch and CacheBlocks are for engines; see EngineOptions.
	MaxBatch    int           `yaml:"max_batch"`
	CacheBlocks int           `yaml:"cache_blocks"`
	EventDelay  time.Duration `yaml:"event_delay"`
	EventGap    int           `yaml:"event_gap"`
	// Base is the working time of a call, or of an engine's step; 0 is the
	// simulator's default.
	Base time.Duration `yaml:"base"`
	// Slots and MaxWaiting are for stage pools and services.
	Slots      int `yaml:"slots"`
	MaxWaiting int `yaml:"max_waiting"`
}

// Defaults and bounds of a fleet.
const (
	defaultFirstHost  = 11
	defaultAdmin      = "127.0.0.1:0"
	defaultLoadLag    = 250 * time.Millisecond
	defaultMembersLag = time.Second
	maxRegions        = 250
	maxHosts          = 240
)

// LoadFleetConfig reads and checks a description. An unknown key is an error
// that names the file, the line and the key.
func LoadFleetConfig(path string) (FleetConfig, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return FleetConfig{}, fmt.Errorf("fleet settings: %w", err)
	}
	c, err := ParseFleetConfig(data)
	if err != nil {
		return FleetConfig{}, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// ParseFleetConfig reads and checks a description.
func ParseFleetConfig(data []byte) (FleetConfig, error) {
	var c FleetConfig
	if err := yaml.UnmarshalWithOptions(data, &c, yaml.Strict()); err != nil {
		return FleetConfig{}, errors.New(yaml.FormatError(err, false, true))
	}
	c.setDefaults()
	return c, c.Check()
}

func (c *FleetConfig) setDefaults() {
	setInt(&c.FirstHost, defaultFirstHost)
	setDuration(&c.LoadLag, defaultLoadLag)
	setDuration(&c.MembersLag, defaultMembersLag)
	if c.AdminAddress == "" {
		c.AdminAddress = defaultAdmin
	}
	if c.TimeScale == 0 {
		c.TimeScale = 1
	}
}

// Check says what is wrong with the description.
func (c FleetConfig) Check() error {
	if len(c.Regions) == 0 || len(c.Regions) > maxRegions {
		return fmt.Errorf("fleet: regions: want 1 to %d, have %d", maxRegions, len(c.Regions))
	}
	if len(c.Pools) == 0 {
		return errors.New("fleet: pools: add at least one pool")
	}
	if c.TimeScale < 0 || c.LoadLag < 0 || c.MembersLag < 0 {
		return errors.New("fleet: time_scale, load_lag and members_lag must not be negative")
	}
	hosts := map[ids.Region]int{}
	for _, r := range c.Regions {
		hosts[r] = c.FirstHost
	}
	if len(hosts) != len(c.Regions) {
		return errors.New("fleet: regions: each name must be given once")
	}
	names := map[string]bool{}
	for _, p := range c.Pools {
		if p.Name == "" || names[p.Name] {
			return fmt.Errorf("fleet: pool name %q must be set and given once", p.Name)
		}
		names[p.Name] = true
		if err := p.check(hosts); err != nil {
			return err
		}
	}
	for region, host := range hosts {
		if host > maxHosts {
			return fmt.Errorf("fleet: region %s: more than %d addresses; use fewer runners", region, maxHosts)
		}
	}
	return nil
}

// check adds the pool's runners to the hosts of each region.
func (p PoolConfig) check(hosts map[ids.Region]int) error {
	switch p.Kind {
	case settings.KindEncode, settings.KindRetrieve, settings.KindRerank, settings.KindGenerate, settings.KindService:
	default:
		return fmt.Errorf("fleet: pool %s: kind %q must be encode, retrieve, rerank, generate or service", p.Name, p.Kind)
	}
	total := 0
	for region, n := range p.Runners {
		if _, ok := hosts[region]; !ok {
			return fmt.Errorf("fleet: pool %s: region %s is not in regions", p.Name, region)
		}
		if n < 0 {
			return fmt.Errorf("fleet: pool %s: region %s: the number of runners must not be negative", p.Name, region)
		}
		hosts[region] += n
		total += n
	}
	if total == 0 {
		return fmt.Errorf("fleet: pool %s: runners: add at least one", p.Name)
	}
	return nil
}
