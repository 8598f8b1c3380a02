package standin

import (
	"fmt"
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/settings"
)

// Names of presets.
const (
	PresetGuild    = "guild"
	PresetNilegate = "nilegate"
	PresetDev      = "dev"
)

// Preset returns the description of a known deployment.
func Preset(name string) (FleetConfig, error) {
	var c FleetConfig
	switch name {
	case PresetGuild:
		c = guild()
	case PresetNilegate:
		c = nilegate()
	case PresetDev:
		c = dev()
	default:
		return FleetConfig{}, fmt.Errorf("preset %q is not known; use %s, %s or %s", name, PresetGuild, PresetNilegate, PresetDev)
	}
	c.setDefaults()
	return c, c.Check()
}

// linkDelay is the one-way delay between regions of the presets.
const linkDelay = 20 * time.Millisecond

func guild() FleetConfig {
	regions := []ids.Region{"lagos", "abuja", "onitsha"}
	pools := stagePools(regions)
	pools = append(pools,
		PoolConfig{Name: "drafting", Kind: settings.KindGenerate, Runners: spread(regions, 20), ChecksFencing: true, Models: []string{"fitting-notes"}, EventDelay: 300 * time.Millisecond, EventGap: 13},
		servicePool(regions, "bookings", 3),
		servicePool(regions, "membership", 5),
		servicePool(regions, "returns", 5),
		servicePool(regions, "notices", 5),
	)
	return FleetConfig{Name: PresetGuild, Regions: regions, Links: &LinksConfig{OneWayDelay: linkDelay}, Pools: pools}
}

func nilegate() FleetConfig {
	regions := []ids.Region{"delta", "upper-egypt", "fayoum"}
	pools := stagePools(regions)
	pools = append(pools,
		PoolConfig{Name: "language", Kind: settings.KindGenerate, Runners: spread(regions, 20), Models: []string{"gate-reports"}, EventDelay: 300 * time.Millisecond, EventGap: 13},
		servicePool(regions, "orders", 3),
		servicePool(regions, "crew", 5),
		servicePool(regions, "parts", 5),
		servicePool(regions, "billing", 5),
	)
	return FleetConfig{Name: PresetNilegate, Regions: regions, Links: &LinksConfig{OneWayDelay: linkDelay}, Pools: pools}
}

func dev() FleetConfig {
	regions := []ids.Region{"one", "two"}
	return FleetConfig{
		Name:       PresetDev,
		Regions:    regions,
		MembersLag: 200 * time.Millisecond,
		Pools: []PoolConfig{
			{Name: "encoders", Kind: settings.KindEncode, Runners: spread(regions, 2)},
			{Name: "retrievers", Kind: settings.KindRetrieve, Runners: spread(regions, 2)},
			{Name: "rerankers", Kind: settings.KindRerank, Runners: spread(regions, 2)},
			{Name: "engines", Kind: settings.KindGenerate, Runners: spread(regions, 4), ChecksFencing: true, Models: []string{"dev-model"}, EventDelay: 100 * time.Millisecond, EventGap: 13},
			servicePool(regions, "bookings", 2),
		},
	}
}

// stagePools returns small pools of each stage in every region.
func stagePools(regions []ids.Region) []PoolConfig {
	return []PoolConfig{
		{Name: "encoders", Kind: settings.KindEncode, Runners: spread(regions, 2*len(regions))},
		{Name: "retrievers", Kind: settings.KindRetrieve, Runners: spread(regions, 2*len(regions))},
		{Name: "rerankers", Kind: settings.KindRerank, Runners: spread(regions, 2*len(regions))},
	}
}

func servicePool(regions []ids.Region, name string, n int) PoolConfig {
	return PoolConfig{Name: name, Kind: settings.KindService, Runners: spread(regions, n)}
}

// spread divides n runners over the regions, the first ones getting the rest.
func spread(regions []ids.Region, n int) map[ids.Region]int {
	by := map[ids.Region]int{}
	for i := range n {
		by[regions[i%len(regions)]]++
	}
	return by
}
