package experiment

import (
	"context"
	"errors"
	"fmt"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/load"
	"damaskbridge.example/damaskbridge/relay"
	"damaskbridge.example/damaskbridge/standin"
)

// Cluster is a running deployment. Functions that a deployment doesn't have
// are nil; scenarios that need them are skipped.
type Cluster struct {
	Entries []load.Entry
	Fleet   *standin.Fleet
	// Network holds the links between regions.
	Network *relay.Network
	// KillEntry ends the entry VM with that index at once, StartEntry starts
	// it again at the same address.
	KillEntry  func(ctx context.Context, index int) error
	StartEntry func(ctx context.Context, index int) error
	// CutRegion and RestoreRegion replace the isolation by Network.
	CutRegion     func(ctx context.Context, region ids.Region) error
	RestoreRegion func(ctx context.Context, region ids.Region) error
	// Close ends the deployment.
	Close func()
}

// Start starts a deployment with a baseline, which names how it is configured.
// Each run gets a deployment of its own.
type Start func(ctx context.Context, baseline string, seed uint64) (*Cluster, error)

// ErrSkipped says that the cluster lacks what a scenario needs.
var ErrSkipped = errors.New("experiment: the cluster lacks what the scenario needs")

func (c *Cluster) cut(ctx context.Context, region ids.Region) error {
	switch {
	case c.CutRegion != nil:
		return c.CutRegion(ctx, region)
	case c.Network != nil:
		c.Network.Isolate(region)
		return nil
	default:
		return fmt.Errorf("%w: links between regions", ErrSkipped)
	}
}

func (c *Cluster) restore(ctx context.Context, region ids.Region) error {
	switch {
	case c.RestoreRegion != nil:
		return c.RestoreRegion(ctx, region)
	case c.Network != nil:
		c.Network.Rejoin(region)
		return nil
	default:
		return fmt.Errorf("%w: links between regions", ErrSkipped)
	}
}

// linksUsed says that a cut can't have had an effect because nothing goes over
// the network's links.
func (c *Cluster) linksUsed() error {
	if c.CutRegion != nil {
		return nil
	}
	for _, n := range c.Network.Bytes() {
		if n > 0 {
			return nil
		}
	}
	return fmt.Errorf("%w: nothing went over the links; give entry VMs the fleet's RegionMembersURL", ErrSkipped)
}

func (c *Cluster) kill(ctx context.Context, index int) error {
	if c.KillEntry == nil {
		return fmt.Errorf("%w: KillEntry", ErrSkipped)
	}
	return c.KillEntry(ctx, index)
}

func (c *Cluster) start(ctx context.Context, index int) error {
	if c.StartEntry == nil {
		return nil
	}
	return c.StartEntry(ctx, index)
}
