package config

import (
	"errors"
	"fmt"
)

// Control holds the settings of a control VM's process.
type Control struct {
	VM      VM      `yaml:"vm"`
	Process Process `yaml:"process"`
	// Listen is the UDP address for entry VMs and other control VMs.
	Listen Text `yaml:"listen"`
	// Admin is the HTTP address for operators.
	Admin Text `yaml:"admin"`
	// AdminTLS serves the admin address over HTTPS and requires a client
	// certificate in addition to the operator token. Health checks then need a
	// certificate as well.
	AdminTLS bool `yaml:"admin_tls"`
	// Keys is the directory with the VM's certificate that damaskctl issued.
	Keys Text `yaml:"keys"`
	// Data is the directory for all state that has to survive a restart.
	Data Text `yaml:"data"`
	// Voters lists the initial voting members among the control VMs.
	Voters []Voter      `yaml:"voters"`
	Audit  ControlAudit `yaml:"audit"`
	// OperatorTokens lists the SHA-256 digests of the operators' tokens.
	OperatorTokens []Text `yaml:"operator_tokens"`
}

// Voter is a control VM that is an initial voting member.
type Voter struct {
	VM      Text `yaml:"vm"`
	Region  Text `yaml:"region"`
	Address Text `yaml:"address"`
}

// ControlAudit configures the audit store.
type ControlAudit struct {
	Segment   Bytes    `yaml:"segment"`
	Retention Duration `yaml:"retention"`
	// CopyTo is the address of the control VM that stores a second copy of the
	// audit log; empty for no copy.
	CopyTo Text `yaml:"copy_to"`
}

// DefaultControl returns the default settings of a control VM.
func DefaultControl() *Control {
	return &Control{
		Process: defaultProcess(),
		Listen:  "0.0.0.0:7400",
		Admin:   "127.0.0.1:7401",
		Audit:   ControlAudit{Segment: 64 << 20, Retention: Duration(400 * day)},
	}
}

// Bounds of the settings of a control VM.
const (
	minSegment = Bytes(1 << 20)
	maxSegment = Bytes(1 << 30)
	// Audits take place once a year without notice, so a shorter retention
	// could leave requests unaccounted for.
	minRetention = Duration(366 * day)
	maxRetention = Duration(20 * 365 * day)
	minVoters    = 1
	maxVoters    = 9
)

// Check reports values that are missing, invalid or contradictory.
func (c *Control) Check() error {
	errs := []error{
		c.VM.check(),
		c.Process.check(),
		checkListenAddr("listen", c.Listen),
		checkListenAddr("admin", c.Admin),
		checkDirectory("keys", c.Keys),
		checkDirectory("data", c.Data),
		c.checkVoters(),
		checkRange("audit.segment", c.Audit.Segment, minSegment, maxSegment),
		checkRange("audit.retention", c.Audit.Retention, minRetention, maxRetention),
		c.checkCopyTo(),
	}
	if c.Keys != "" && c.Keys == c.Data {
		errs = append(errs, newFieldError("data", "it is the key folder; use a folder of its own"))
	}
	if len(c.OperatorTokens) == 0 {
		errs = append(errs, newFieldError("operator_tokens", "it is missing; list the digest of at least one token, made with damaskctl keys token"))
	}
	for i, d := range c.OperatorTokens {
		errs = append(errs, checkDigest(fmt.Sprintf("operator_tokens[%d]", i), d))
	}
	return errors.Join(errs...)
}

// checkVoters accepts an odd number of distinct VMs with distinct addresses.
func (c *Control) checkVoters() error {
	if n := len(c.Voters); n < minVoters || n > maxVoters || n%2 == 0 {
		return newFieldError("voters", "it lists %d control VMs; list an odd number up to %d, so that one more never weakens the majority", n, maxVoters)
	}
	var errs []error
	names, addrs := make(map[Text]bool), make(map[Text]bool)
	for i, v := range c.Voters {
		path := fmt.Sprintf("voters[%d]", i)
		errs = append(errs,
			checkName(path+".vm", v.VM),
			checkName(path+".region", v.Region),
			checkReachableAddr(path+".address", v.Address),
		)
		if names[v.VM] {
			errs = append(errs, newFieldError(path+".vm", "%q is listed twice; list each control VM once", v.VM))
		}
		if addrs[v.Address] {
			errs = append(errs, newFieldError(path+".address", "%q is listed twice; correct one of the two", v.Address))
		}
		names[v.VM], addrs[v.Address] = true, true
	}
	return errors.Join(errs...)
}

// checkCopyTo accepts an empty address or that of another control VM.
func (c *Control) checkCopyTo() error {
	if c.Audit.CopyTo == "" {
		return nil
	}
	for _, v := range c.Voters {
		if v.VM == c.VM.Name && v.Address == c.Audit.CopyTo {
			return newFieldError("audit.copy_to", "%q is this VM; name another control VM", c.Audit.CopyTo)
		}
	}
	return checkReachableAddr("audit.copy_to", c.Audit.CopyTo)
}

// IsVoter reports whether this VM is an initial voting member.
func (c *Control) IsVoter() bool {
	for _, v := range c.Voters {
		if v.VM == c.VM.Name {
			return true
		}
	}
	return false
}
