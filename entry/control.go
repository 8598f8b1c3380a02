package entry

import (
	"context"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/wire"
)

// Control is what an entry VM asks of the control VMs. control.Client is one.
type Control interface {
	// Propose replicates a command and gives its result.
	Propose(ctx context.Context, g ids.GroupID, c command.Command) (command.Result, error)
	// Locate gives the address of the HTTP listener of a session's entry VM,
	// empty if it is not known.
	Locate(ctx context.Context, session ids.SessionID) (string, error)
	// Renew keeps the session and the settings lease alive.
	Renew(ctx context.Context, r wire.Renew) (wire.RenewReply, error)
}
