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
	// leaseTerm is the term of the settings lease of entry VMs. A change is in
	// effect everywhere at most this long after its acceptance plus the time
	// of its distribution; the bound is 6 s.
	leaseTerm = 3 * time.Second
	// copyInterval is the time between two copies of the audit log.
	copyInterval = time.Second
	// retireInterval is the time between two looks for segments that are
	// older than the retention.
	retireInterval = time.Hour
)

// Options are what a VM needs.
type Options struct {
	VM     ids.VMID
	Region ids.Region
	// Listen is the UDP address for calls, "ip:port".
	Listen string
	// Admin is the HTTP address for operators, health and metrics.
	Admin string
	// Data is the folder of everything that has to survive a restart.
	Data string
	// Peers are the control VMs that form the group, this one included.
	Peers     []control.Peer
	Creds     transport.Credentials
	Operators *admin.Operators
	// AdminTLS serves operators over HTTPS and asks for an operator's
	// certificate besides the token.
	AdminTLS bool
	// SegmentBytes and Retention are those of the audit log; 0 means the
	// defaults of package audit.
	SegmentBytes int64
	Retention    time.Duration
	// CopyTo is the control VM that keeps a second copy of the audit log;
	// empty for none.
	CopyTo string
	Logger *log.Logger
}

// Check reports the first missing option.
func (o *Options) Check() error {
	switch {
	case o.VM == "":
		return fmt.Errorf("controlvm: VM is empty; set the VM's name")
	case o.Listen == "" || o.Admin == "":
		return fmt.Errorf("controlvm: a listen address is empty; set ip:port")
	case o.Data == "":
		return fmt.Errorf("controlvm: data folder is empty; set it")
	case len(o.Peers) == 0:
		return fmt.Errorf("controlvm: no control VMs; list those that form the group")
	case o.Operators == nil:
		return fmt.Errorf("controlvm: no operators; list the digest of at least one token")
	case o.Creds == nil:
		return fmt.Errorf("controlvm: no credentials; give the key folder")
	}
	return nil
}
