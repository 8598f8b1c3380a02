package config

import (
	"errors"
	"fmt"
)

// Control holds the settings of a control VM's process.
type Control struct {
	VM      VM      `yaml:"vm"`
	Process Process `yaml:"process"`
	// Listen is where entry VMs and other control VMs call (UDP).
	Listen Text `yaml:"listen"`
	// Admin is where operators call (HTTP).
	Admin Text `yaml:"admin"`
	// AdminTLS serves operators over HTTPS and asks for an operator's
	// certificate besides the token. Health checks then need one as well.
	AdminTLS bool `yaml:"admin_tls"`
	// Keys is the folder with the VM's certificate, as damaskctl wrote it.
	Keys Text `yaml:"keys"`
	// Data is the folder of everything that has to survive a restart.
	Data Text `yaml:"data"`
	// Voters are the control VMs that form the first majority.
	Voters []Voter      `yaml:"voters"`
	Audit  ControlAudit `yaml:"audit"`
	// OperatorTokens lists the SHA-256 digests of the operators' tokens.
	OperatorTokens []Text `yaml:"operator_tokens"`
}

// Voter is one control VM of the first majority.
type Voter struct {
	VM      Text `yaml:"vm"`
	Region  Text `yaml:"region"`
	Address Text `yaml:"address"`
}

// ControlAudit configures the audit store.
type ControlAudit struct {
	Segment   Bytes    `yaml:"segment"`
	Retention Duration `yaml:"retention"`
	// CopyTo is the address of the control VM that keeps a second copy; empty
	// for none.
	CopyTo Text `yaml:"copy_to"`
}

// DefaultControl gives the defaults.
func DefaultControl() *Control {
	return &Control{
		Process: defaultProcess(),
		Listen:  "0.0.0.0:7400",
		Admin:   "127.0.0.1:7401",
		Audit:   ControlAudit{Segment: 64 << 20, Retention: Duration(400 * day)},
	}
}

// Bounds of a control VM's settings.
const (
	minSegment = Bytes(1 << 20)
	maxSegment = Bytes(1 << 30)
	// The audit comes once a year without notice, so a shorter retention
	// could leave requests unaccounted for.
	minRetention = Duration(366 * day)
	maxRetention = Duration(20 * 365 * day)
	minVoters    = 1
	maxVoters    = 9
)

// Check rejects values that cannot work.
func (c *Control) Check() error {
	errs := []error{
		c.VM.check(),
		c.Process.check(),
		checkListen("listen", c.Listen),
		checkListen("admin", c.Admin),
		checkFolder("keys", c.Keys),
		checkFolder("data", c.Data),
		c.checkVoters(),
		checkRange("audit.segment", c.Audit.Segment, minSegment, maxSegment),
		checkRange("audit.retention", c.Audit.Retention, minRetention, maxRetention),
		c.checkCopy(),
	}
	if c.Keys != "" && c.Keys == c.Data {
		errs = append(errs, field("data", "it is the key folder; use a folder of its own"))
	}
	if len(c.OperatorTokens) == 0 {
		errs = append(errs, field("operator_tokens", "it is missing; list the digest of at least one token, made with damaskctl keys token"))
	}
	for i, d := range c.OperatorTokens {
		errs = append(errs, checkDigest(fmt.Sprintf("operator_tokens[%d]", i), d))
	}
	return errors.Join(errs...)
}

// checkVoters accepts different VMs at different addresses.
func (c *Control) checkVoters() error {
	if n := len(c.Voters); n < minVoters || n > maxVoters || n%2 == 0 {
		return field("voters", "it lists %d control VMs; list an odd number up to %d, so that one more never weakens the majority", n, maxVoters)
	}
	var errs []error
	names, addrs := make(map[Text]bool), make(map[Text]bool)
	for i, v := range c.Voters {
		path := fmt.Sprintf("voters[%d]", i)
		errs = append(errs,
			checkName(path+".vm", v.VM),
			checkName(path+".region", v.Region),
			checkAddr(path+".address", v.Address),
		)
		if names[v.VM] {
			errs = append(errs, field(path+".vm", "%q is listed twice; list each control VM once", v.VM))
		}
		if addrs[v.Address] {
			errs = append(errs, field(path+".address", "%q is listed twice; correct one of the two", v.Address))
		}
		names[v.VM], addrs[v.Address] = true, true
	}
	return errors.Join(errs...)
}

// checkCopy accepts the address of another control VM.
func (c *Control) checkCopy() error {
	if c.Audit.CopyTo == "" {
		return nil
	}
	for _, v := range c.Voters {
		if v.VM == c.VM.Name && v.Address == c.Audit.CopyTo {
			return field("audit.copy_to", "%q is this VM; name another control VM", c.Audit.CopyTo)
		}
	}
	return checkAddr("audit.copy_to", c.Audit.CopyTo)
}

// IsVoter says whether this VM belongs to the first majority.
func (c *Control) IsVoter() bool {
	for _, v := range c.Voters {
		if v.VM == c.VM.Name {
			return true
		}
	}
	return false
}
