package entry

import (
	"context"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/wire"
)

// Control is the interface of the control VMs to an entry VM. control.Client
// implements it.
type Control interface {
	// Propose replicates a command and returns its result.
	Propose(ctx context.Context, g ids.GroupID, c command.Command) (command.Result, error)
	// Locate returns the HTTP address of a session's entry VM, empty if it is
	// not known.
	Locate(ctx context.Context, session ids.SessionID) (string, error)
	// Renew renews the session and the settings lease.
	Renew(ctx context.Context, r wire.Renew) (wire.RenewReply, error)
}
