// Package dev runs a sample deployment in one process, for demos and manual
// tests, and can send and check one request of each kind.
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

// Options configures Run.
type Options struct {
	// Deployment is the name of a sample deployment: "dev", "guild" or
	// "nilegate".
	Deployment string
	// Once sends and checks one request of each kind and returns; without it
	// the deployment runs until ctx is done.
	Once bool
	// Out receives the addresses, tokens and results.
	Out io.Writer
}

const (
	controlVMs = 3
	entryVMs   = 3
	// startTimeout bounds the start of the deployment.
	startTimeout = time.Minute
)

// Run starts the deployment and prints its addresses and tokens. With Once it
// returns an error if a response is wrong or the audit log does not agree with
// it.
func Run(ctx context.Context, o Options) error {
	d, err := sample.ByName(o.Deployment)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "damask-dev-")
	if err != nil {
		return fmt.Errorf("dev: create the data directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	c, err := cluster.Start(startCtx, cluster.Options{Deployment: d, Controls: controlVMs, Entries: entryVMs, Dir: dir, Seed: 1})
	cancel()
	if err != nil {
		return err
	}
	defer c.Close()
	printAccess(o.Out, d, c)
	if o.Once {
		return newChecker(d, c, o.Out).run(ctx)
	}
	<-ctx.Done()
	return nil
}

// printAccess prints the VMs' addresses and the tokens to call them with.
func printAccess(out io.Writer, d *sample.Deployment, c *cluster.Cluster) {
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
