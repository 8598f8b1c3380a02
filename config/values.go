package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Duration is a duration that is written with a unit ("20ms", "5s", "400d").
type Duration time.Duration

const day = 24 * time.Hour

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats the duration as ParseDuration accepts it.
func (d Duration) String() string {
	if d != 0 && time.Duration(d)%day == 0 {
		return fmt.Sprintf("%dd", time.Duration(d)/day)
	}
	return time.Duration(d).String()
}

// ParseDuration parses a duration that is not negative. In addition to the
// format of time.ParseDuration, it accepts a whole number of days ("400d").
func ParseDuration(s string) (Duration, error) {
	if days, ok := strings.CutSuffix(s, "d"); ok {
		n, err := strconv.ParseUint(days, 10, 16)
		if err != nil {
			return 0, fmt.Errorf("%q is not a duration; write it like 20ms, 5s, 10m, 2h or 400d", s)
		}
		return Duration(time.Duration(n) * day), nil
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 {
		return 0, fmt.Errorf("%q is not a duration; write it like 20ms, 5s, 10m, 2h or 400d", s)
	}
	return Duration(d), nil
}

// UnmarshalYAML parses a duration with its unit.
func (d *Duration) UnmarshalYAML(n ast.Node) error {
	text, err := scalarText(n)
	if err != nil {
		return err
	}
	v, err := ParseDuration(text)
	if err != nil {
		return &valueError{node: n, detail: err.Error()}
	}
	*d = v
	return nil
}

// Bytes is a size in bytes that is written with a unit ("512B", "64KiB").
type Bytes int64

var byteUnits = []struct {
	suffix string
	factor int64
}{
	// "B" comes last because all other suffixes end in it.
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"TiB", 1 << 40},
	{"B", 1},
}

// String formats the size as ParseBytes accepts it.
func (b Bytes) String() string {
	for i := len(byteUnits) - 2; i >= 0; i-- {
		if u := byteUnits[i]; b != 0 && int64(b)%u.factor == 0 {
			return strconv.FormatInt(int64(b)/u.factor, 10) + u.suffix
		}
	}
	return strconv.FormatInt(int64(b), 10) + "B"
}

// ParseBytes parses a size: a whole number with the unit B, KiB, MiB, GiB or
// TiB.
func ParseBytes(s string) (Bytes, error) {
	for _, u := range byteUnits {
		digits, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(digits, 10, 63)
		if err != nil || int64(n) > math.MaxInt64/u.factor {
			break
		}
		return Bytes(int64(n) * u.factor), nil
	}
	return 0, fmt.Errorf("%q is not a size; write a whole number with B, KiB, MiB, GiB or TiB", s)
}

// UnmarshalYAML parses a size with its unit.
func (b *Bytes) UnmarshalYAML(n ast.Node) error {
	text, err := scalarText(n)
	if err != nil {
		return err
	}
	v, err := ParseBytes(text)
	if err != nil {
		return &valueError{node: n, detail: err.Error()}
	}
	*b = v
	return nil
}

// Text is a string that must be a string in YAML: an unquoted number or boolean
// is rejected, which the YAML library would otherwise convert to a string.
type Text string

// UnmarshalYAML accepts a YAML string only.
func (t *Text) UnmarshalYAML(n ast.Node) error {
	s, ok := n.(*ast.StringNode)
	if !ok {
		return &valueError{node: n, detail: fmt.Sprintf("%q is not a string; put it in quotes if a string is meant", n)}
	}
	*t = Text(s.Value)
	return nil
}

// scalarText returns a scalar as it is written, so that a number without a unit
// can be reported as such.
func scalarText(n ast.Node) (string, error) {
	switch v := n.(type) {
	case *ast.StringNode:
		return v.Value, nil
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return n.GetToken().Value, nil
	}
	return "", &valueError{node: n, detail: "a single value is expected here"}
}
