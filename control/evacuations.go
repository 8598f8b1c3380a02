package control

import (
	"context"
	"errors"
	"fmt"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/evacuation"
	"damaskbridge.example/damaskbridge/wire"
)

// ErrOutdatedOrder is returned for an order of an evacuation that another order has
// overtaken.
var ErrOutdatedOrder = errors.New("control: another order for the data centre came first; send the order again if it still holds")

// Evacuations returns the evacuated data centres that this VM has applied, nil before
// the first order.
func (s *Server) Evacuations() *evacuation.Table { return s.replica.published.Load().evacuations }

// Evacuate starts or ends the evacuation of a data centre. It returns nil once that
// is in force and durable on enough disks to survive the tolerated number of disk
// losses. It is idempotent, and returns ErrOutdatedOrder if another order has changed
// the data centre since the call began.
func (s *Server) Evacuate(ctx context.Context, zone string, start bool) error {
	table, err := s.readEvacuations(ctx)
	if err != nil {
		return err
	}
	if table.IsEvacuated(zone) == start {
		return nil
	}
	order := &evacuation.Order{Zone: zone, Start: start, Revision: table.Revision(zone)}
	reply, err := s.propose(ctx, &wire.Propose{Group: s.replica.Group(), Command: command.Command{Evacuate: order}})
	switch {
	case err != nil:
		return err
	case !reply.Done:
		return ErrNotCurrent
	case reply.Result.Code == command.Outdated:
		return ErrOutdatedOrder
	case reply.Result.Code != command.OK:
		return fmt.Errorf("control: the order was not applied: %s; check that all control VMs run the same release", reply.Result.Detail)
	}
	return nil
}

// readEvacuations returns the evacuations in force at some moment after the call
// began.
func (s *Server) readEvacuations(ctx context.Context) (*evacuation.Table, error) {
	if s.replica.published.Load().isLeader() {
		v, err := s.confirmedView(ctx)
		if err != nil {
			return nil, err
		}
		return v.evacuations, nil
	}
	call, err := wire.Encode(&documentCall{Evacuations: true})
	if err != nil {
		return nil, err
	}
	reply, err := s.readAtLeader(ctx, call)
	if err != nil {
		return nil, err
	}
	return reply.Evacuations, nil
}
