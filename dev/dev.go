// Package dev runs the sample deployment in one process and sends one request
// of every kind, for a first try.
package dev

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"damaskbridge.example/damaskbridge/cluster"
	"damaskbridge.example/damaskbridge/sample"
)

// Options describe a run.
type Options struct {
	// Deployment is "dev", "guild" or "nilegate".
	Deployment string
	// Once sends the samples and ends; without it the deployment runs until
	// ctx ends.
	Once bool
	Out  io.Writer
}

const (
	controls = 3
	entries  = 3
	// startLimit limits the start of all parts.
	startLimit = time.Minute
)

// Run starts the deployment. With Once it returns an error if any sample came
// back wrong or is not accounted for.
func Run(ctx context.Context, o Options) error {
	d, err := sample.Named(o.Deployment)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "damask-dev-")
	if err != nil {
		return fmt.Errorf("dev: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	starting, cancel := context.WithTimeout(ctx, startLimit)
	c, err := cluster.Start(starting, cluster.Options{Deployment: d, Controls: controls, Entries: entries, Dir: dir, Seed: 1})
	cancel()
	if err != nil {
		return err
	}
	defer c.Close()
	describe(o.Out, d, c)
	if o.Once {
		return newSampler(d, c, o.Out).run(ctx)
	}
	<-ctx.Done()
	return nil
}

// describe prints where everything listens.
func describe(out io.Writer, d *sample.Deployment, c *cluster.Cluster) {
	for i, t := range c.Targets() {
		fmt.Fprintf(out, "entry VM   %s  %s  region %s\n", t.Name, t.URL, t.Region)
		_ = i
	}
	for i := range c.Controls {
		fmt.Fprintf(out, "control VM control-%d  %s  operators' API\n", i+1, c.AdminURL(i))
	}
	fmt.Fprintf(out, "operator token  %s\n", cluster.OperatorToken)
	fmt.Fprintf(out, "workspace token %s (workspace %s)\n\n", d.Workspaces[0].Token, d.Workspaces[0].Name)
}
