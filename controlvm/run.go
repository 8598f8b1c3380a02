package controlvm

import (
	"context"
	"fmt"
	"os"
	"time"

	"damaskbridge.example/damaskbridge/admin"
	"damaskbridge.example/damaskbridge/config"
	"damaskbridge.example/damaskbridge/control"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/internal/diskfull"
	"damaskbridge.example/damaskbridge/internal/timer"
	"damaskbridge.example/damaskbridge/keys"
	"github.com/phuslu/log"
)

// Run runs a control VM with the given settings until ctx ends, then transfers
// leadership and flushes all files. It returns an error if the replica stops on
// its own, for example after a failed fsync.
func Run(ctx context.Context, c *config.Control) error {
	logger := &log.Logger{Level: log.ParseLevel(string(c.Process.LogLevel)), Writer: log.IOWriter{Writer: os.Stderr}}
	creds, err := keys.Open(string(c.Keys))
	if err != nil {
		return fmt.Errorf("control: keys: %w", err)
	}
	o, err := optionsFromConfig(c)
	if err != nil {
		return err
	}
	o.Creds = creds
	o.Logger = logger
	v, err := startWhenSpace(ctx, o, Start)
	if err != nil {
		return err
	}
	logger.Info().Str("address", v.Addr()).Str("admin", v.AdminAddr()).Msg("control: serving")
	select {
	case <-ctx.Done():
	case <-v.Done():
		v.Close()
		return fmt.Errorf("control: the replica has stopped: %w", v.Err())
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), time.Duration(c.Process.DrainWait))
	defer cancel()
	return v.Drain(drainCtx)
}

// startRetryInterval is the time between two attempts to start on a full disk.
const startRetryInterval = time.Second

// startWhenSpace calls start, and again while the disk has no space for what it has
// to store, until ctx ends.
func startWhenSpace(ctx context.Context, o Options, start func(Options) (*VM, error)) (*VM, error) {
	for {
		v, err := start(o)
		if !diskfull.Is(err) {
			return v, err
		}
		o.Logger.Warn().Err(err).Msg("control: disk full; the VM starts when there is space")
		if !timer.Sleep(ctx, startRetryInterval) {
			return nil, err
		}
	}
}

// optionsFromConfig returns the options of a settings file. Creds and Logger are
// not set.
func optionsFromConfig(c *config.Control) (Options, error) {
	o := Options{
		VM:           ids.VMID(c.VM.Name),
		Region:       ids.Region(c.VM.Region),
		Listen:       string(c.Listen),
		Admin:        string(c.Admin),
		Data:         string(c.Data),
		SegmentBytes: int64(c.Audit.Segment),
		Retention:    time.Duration(c.Audit.Retention),
		CopyTo:       string(c.Audit.CopyTo),
	}
	for _, p := range c.Voters {
		o.Peers = append(o.Peers, control.Peer{VM: ids.VMID(p.VM), Region: ids.Region(p.Region), Addr: string(p.Address), Voter: true})
	}
	o.AdminTLS = c.AdminTLS
	digests := make([]string, 0, len(c.OperatorTokens))
	for _, digest := range c.OperatorTokens {
		digests = append(digests, string(digest))
	}
	var err error
	o.Operators, err = admin.NewOperatorsFromDigests(digests)
	return o, err
}
