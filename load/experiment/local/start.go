package local

import (
	"context"
	"fmt"
	"os"

	"damaskbridge.example/damaskbridge/cluster"
	"damaskbridge.example/damaskbridge/load/experiment"
	"damaskbridge.example/damaskbridge/sample"
)

// Options describe the deployments.
type Options struct {
	// Deployment is the name of a sample deployment.
	Deployment string
	// Controls and Entries are the numbers of VMs.
	Controls, Entries int
	// TimeScale multiplies the working times of the upstreams; 0 keeps that of
	// the deployment.
	TimeScale float64
}

// Check says what is wrong with the options.
func (o Options) Check() error {
	if _, err := sample.ByName(o.Deployment); err != nil {
		return err
	}
	if o.Controls < 1 || o.Entries < 1 {
		return fmt.Errorf("local: controls %d and entries %d must be above 0", o.Controls, o.Entries)
	}
	return nil
}

// Start returns the function that starts a deployment for each run. Files are in
// a temporary folder that is removed at the end of the run.
func Start(o Options) experiment.Start {
	return func(ctx context.Context, baseline string, seed uint64) (*experiment.Cluster, error) {
		p, err := policy(baseline)
		if err != nil {
			return nil, err
		}
		d, err := sample.ByName(o.Deployment)
		if err != nil {
			return nil, err
		}
		if o.TimeScale > 0 {
			d.Fleet.TimeScale = o.TimeScale
		}
		dir, err := os.MkdirTemp("", "damask-experiment-")
		if err != nil {
			return nil, fmt.Errorf("local: %w", err)
		}
		c, err := cluster.Start(ctx, cluster.Options{
			Deployment: d, Controls: o.Controls, Entries: o.Entries, Dir: dir, Policy: p, Seed: int64(seed),
		})
		if err != nil {
			_ = os.RemoveAll(dir)
			return nil, err
		}
		return wrap(c, dir), nil
	}
}

// wrap returns the cluster as scenarios use it. A killed entry VM does not come
// back, since the next one would listen at another address.
func wrap(c *cluster.Cluster, dir string) *experiment.Cluster {
	return &experiment.Cluster{
		Entries: c.Targets(),
		Fleet:   c.Fleet,
		Network: c.Fleet.Network(),
		KillEntry: func(_ context.Context, index int) error {
			c.Entries[index].Close()
			return nil
		},
		Close: func() {
			c.Close()
			_ = os.RemoveAll(dir)
		},
	}
}
