package settings

import (
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Unit is the unit of a setting, which determines how its values are written.
type Unit string

// Units of settings.
const (
	// UnitDuration is a Go duration such as "500ms" or "24h".
	UnitDuration Unit = "duration"
	// UnitBytes is a whole number of bytes, optionally with the suffix KiB, MiB,
	// GiB or TiB.
	UnitBytes Unit = "bytes"
	// UnitBytesPerSecond is written like UnitBytes.
	UnitBytesPerSecond Unit = "bytes per second"
	// UnitPercent is a whole number, optionally with the suffix "%".
	UnitPercent Unit = "percent"
	// UnitCount is a whole number.
	UnitCount Unit = "count"
	// UnitBool is "true" or "false".
	UnitBool Unit = "bool"
	// UnitChoice is one of Spec.Choices.
	UnitChoice Unit = "choice"
	// UnitRegions is a list of regions separated by commas. An empty list stands for
	// all regions.
	UnitRegions Unit = "regions"
)

// Spec describes a key: its unit, default and bounds.
type Spec struct {
	Key     Key
	Unit    Unit
	Default string
	// Min and Max are inclusive bounds, in nanoseconds for UnitDuration and in
	// the unit itself for the others. UnitBool and UnitChoice do not use them.
	Min, Max int64
	// Choices lists the valid values of a UnitChoice key.
	Choices []string
	// RootOnly is true for settings of the whole system, which can be set on the
	// root branch only.
	RootOnly bool
}

const (
	kib = int64(1) << 10
	mib = int64(1) << 20
	gib = int64(1) << 30
	tib = int64(1) << 40

	day = 24 * time.Hour
)

var specs = indexSpecs([]Spec{
	duration(DeadlineDefault, "5s", time.Millisecond, time.Hour),
	duration(DeadlineMax, "60s", time.Millisecond, time.Hour),
	{Key: BodyMaxBytes, Unit: UnitBytes, Default: "1MiB", Min: kib, Max: 64 * mib},
	{Key: WorkspaceWeight, Unit: UnitCount, Default: "1", Min: 1, Max: 10_000},
	{Key: PriorityDefault, Unit: UnitChoice, Default: "normal", Choices: []string{"interactive", "normal", "batch"}},
	rootOnly(Spec{Key: AdmissionMinLimit, Unit: UnitCount, Default: "4", Min: 1, Max: 100_000}),
	rootOnly(Spec{Key: AdmissionMaxLimit, Unit: UnitCount, Default: "1000", Min: 1, Max: 100_000}),
	rootOnly(Spec{Key: AdmissionQueue, Unit: UnitCount, Default: "1000", Min: 0, Max: 100_000}),
	rootOnly(Spec{Key: RetryBudgetPercent, Unit: UnitPercent, Default: "10", Min: 0, Max: 100}),
	{Key: RetryMaxAttempts, Unit: UnitCount, Default: "3", Min: 1, Max: 10},
	{Key: HedgeEnabled, Unit: UnitBool, Default: "true"},
	rootOnly(Spec{Key: HedgePercentile, Unit: UnitPercent, Default: "95", Min: 50, Max: 99}),
	// Above 50 %, one VM with a wrong view of its upstreams could eject a whole
	// pool.
	rootOnly(Spec{Key: EjectionMaxPercent, Unit: UnitPercent, Default: "50", Min: 0, Max: 50}),
	{Key: AllowedRegions, Unit: UnitRegions},
	rootOnly(Spec{Key: CrossRegionAllowed, Unit: UnitBool, Default: "true"}),
	rootOnly(duration(CrossRegionPenalty, "40ms", 0, 10*time.Second)),
	rootOnly(duration(SlowStart, "10s", 0, 10*time.Minute)),
	duration(StreamTokenGap, "2s", 10*time.Millisecond, 5*time.Minute),
	duration(StreamResumeRetention, "60s", 0, time.Hour),
	rootOnly(duration(UpstreamProgressTimeout, "5s", 50*time.Millisecond, 10*time.Minute)),
	rootOnly(duration(AnswerRetention, "24h", time.Minute, 30*day)),
	// Entry VMs claim every key in group 1 and ignore a greater value. A later
	// release that uses the value would look for existing claims of group 1 in
	// other groups, and a repeated request could run twice.
	rootOnly(Spec{Key: LedgerGroups, Unit: UnitCount, Default: "1", Min: 1, Max: 1}),
	{Key: AuditBeforeDispatch, Unit: UnitChoice, Default: "durable", Choices: []string{"durable", "async"}},
	// The customer audits once a year, so the default and the minimum exceed a
	// year: a shorter retention could leave requests unaccounted for.
	rootOnly(duration(AuditRetention, "9600h", 366*day, 3660*day)),
	rootOnly(Spec{Key: WeightStoreRate, Unit: UnitBytesPerSecond, Default: "1GiB", Min: 1, Max: tib}),
})

func duration(key Key, def string, low, high time.Duration) Spec {
	return Spec{Key: key, Unit: UnitDuration, Default: def, Min: int64(low), Max: int64(high)}
}

func rootOnly(s Spec) Spec {
	s.RootOnly = true
	return s
}

// parsedSpec is a Spec with its parsed default.
type parsedSpec struct {
	Spec
	parsedDefault int64
}

func indexSpecs(list []Spec) map[Key]*parsedSpec {
	index := make(map[Key]*parsedSpec, len(list))
	for _, s := range list {
		spec := &parsedSpec{Spec: s}
		number, err := spec.parse(s.Default)
		if err != nil {
			panic(fmt.Sprintf("settings: default of %s: %v", s.Key, err))
		}
		spec.parsedDefault = number
		index[s.Key] = spec
	}
	return index
}

// Specs returns the specifications of all keys, sorted by key.
func Specs() []Spec {
	all := make([]Spec, 0, len(specs))
	for _, spec := range specs {
		all = append(all, spec.Spec)
	}
	sort.Slice(all, func(a, b int) bool { return all[a].Key < all[b].Key })
	return all
}

// parse parses a value and checks its bounds. It returns 0 or 1 for a UnitBool
// value and the index in Choices for a UnitChoice value.
func (s *Spec) parse(value string) (int64, error) {
	number, ok := s.parseUnit(value)
	if !ok {
		return 0, fmt.Errorf("%q is not a %s; write %s", value, s.Unit, s.example())
	}
	if s.Unit == UnitBool || s.Unit == UnitChoice || s.Unit == UnitRegions {
		return number, nil
	}
	if number < s.Min || number > s.Max {
		return 0, fmt.Errorf("%q is out of bounds; give a value from %s to %s", value, s.format(s.Min), s.format(s.Max))
	}
	return number, nil
}

// parseValue parses a value and, if validate is set, checks it. Otherwise the
// value has been accepted by another VM, which may run a newer release during
// an upgrade. It may then be out of this release's bounds, or unreadable; an
// unreadable value is replaced by the default.
func (s *parsedSpec) parseValue(value string, validate bool) (int64, error) {
	if validate {
		return s.parse(value)
	}
	if number, ok := s.parseUnit(value); ok {
		return number, nil
	}
	return s.parsedDefault, nil
}

// parseUnit parses a value in the spec's unit, without checking its bounds.
func (s *Spec) parseUnit(value string) (number int64, ok bool) {
	switch s.Unit {
	case UnitDuration:
		d, err := time.ParseDuration(value)
		// Of the numbers without a unit, ParseDuration accepts only "0".
		return int64(d), err == nil
	case UnitBytes, UnitBytesPerSecond:
		return parseBytes(value)
	case UnitPercent:
		return parseInt(strings.TrimSuffix(value, "%"))
	case UnitCount:
		return parseInt(value)
	case UnitBool:
		return choiceIndex(value, []string{"false", "true"})
	case UnitChoice:
		return choiceIndex(value, s.Choices)
	case UnitRegions:
		return 0, isRegionList(value)
	}
	return 0, false
}

// isRegionList reports whether value is a list of names without empty ones.
func isRegionList(value string) bool {
	if value == "" {
		return true
	}
	for _, name := range strings.Split(value, ",") {
		if name == "" || strings.ContainsAny(name, " \t\r\n") {
			return false
		}
	}
	return true
}

func parseInt(value string) (int64, bool) {
	n, err := strconv.ParseInt(value, 10, 64)
	return n, err == nil
}

func parseBytes(value string) (int64, bool) {
	factor := int64(1)
	for _, u := range []struct {
		suffix string
		factor int64
	}{{"KiB", kib}, {"MiB", mib}, {"GiB", gib}, {"TiB", tib}} {
		if rest, ok := strings.CutSuffix(value, u.suffix); ok {
			value, factor = rest, u.factor
			break
		}
	}
	n, ok := parseInt(value)
	if !ok || n > math.MaxInt64/factor || n < 0 {
		return 0, false
	}
	return n * factor, true
}

func choiceIndex(value string, choices []string) (int64, bool) {
	for i, c := range choices {
		if value == c {
			return int64(i), true
		}
	}
	return 0, false
}

func (s *Spec) example() string {
	switch s.Unit {
	case UnitDuration:
		return `a number with a unit such as "500ms" or "5s"`
	case UnitBytes, UnitBytesPerSecond:
		return `a whole number of bytes such as "65536" or "64KiB"`
	case UnitPercent:
		return `a whole number of percent such as "10"`
	case UnitCount:
		return `a whole number such as "10"`
	case UnitBool:
		return `"true" or "false"`
	case UnitRegions:
		return `regions separated by commas such as "lagos,abuja"`
	}
	return "one of " + strings.Join(s.Choices, ", ")
}

func (s *Spec) format(n int64) string {
	if s.Unit == UnitDuration {
		return time.Duration(n).String()
	}
	return strconv.FormatInt(n, 10)
}

// Allowed describes the valid values of the key.
func (s *Spec) Allowed() string {
	switch s.Unit {
	case UnitBool:
		return "true, false"
	case UnitChoice:
		return strings.Join(s.Choices, ", ")
	case UnitRegions:
		return "regions separated by commas, empty for all"
	}
	return s.format(s.Min) + " to " + s.format(s.Max)
}
