package controlvm

import (
	"fmt"
	"time"

	"damaskbridge.example/damaskbridge/admin"
	"damaskbridge.example/damaskbridge/control"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/transport"
	"github.com/phuslu/log"
)

const (
	// settingsLeaseTerm is the term of the settings lease of entry VMs. A change
	// takes effect everywhere at most this long, plus the distribution time, after
	// its acceptance; the required bound is 6 s.
	settingsLeaseTerm = 3 * time.Second
	// replicationInterval is the time between two replications of the audit log.
	replicationInterval = time.Second
	// retentionInterval is the time between two deletions of segments that are
	// older than the retention.
	retentionInterval = time.Hour
)

// Options configure a VM.
type Options struct {
	VM     ids.VMID
	Region ids.Region
	// Listen is the UDP address of the RPC server, "ip:port".
	Listen string
	// Admin is the HTTP address for operators, health checks and metrics.
	Admin string
	// Data is the folder for all persistent data.
	Data string
	// Peers are the control VMs that form the group, including this one.
	Peers     []control.Peer
	Creds     transport.Credentials
	Operators *admin.Operators
	// AdminTLS serves operators over HTTPS and requires an operator's
	// certificate in addition to the token.
	AdminTLS bool
	// SegmentBytes and Retention apply to the audit log; 0 selects the default
	// of package audit.
	SegmentBytes int64
	Retention    time.Duration
	// CopyTo is the address of the control VM that keeps a second copy of the
	// audit log; empty for no copy.
	CopyTo string
	Logger *log.Logger
}

// Check reports the first missing option.
func (o *Options) Check() error {
	switch {
	case o.VM == "":
		return fmt.Errorf("controlvm: VM is empty; set the name of the VM")
	case o.Listen == "" || o.Admin == "":
		return fmt.Errorf("controlvm: a listen address is empty; set ip:port")
	case o.Data == "":
		return fmt.Errorf("controlvm: data folder is empty; set the folder for persistent data")
	case len(o.Peers) == 0:
		return fmt.Errorf("controlvm: no control VMs; list the control VMs of the group")
	case o.Operators == nil:
		return fmt.Errorf("controlvm: no operators; list the digest of at least one operator token")
	case o.Creds == nil:
		return fmt.Errorf("controlvm: no credentials; give the key folder")
	}
	return nil
}
