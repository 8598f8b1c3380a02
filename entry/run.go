package entry

import (
	"context"
	"fmt"
	"os"
	"time"

	"damaskbridge.example/damaskbridge/audit"
	"damaskbridge.example/damaskbridge/buffers"
	"damaskbridge.example/damaskbridge/config"
	"damaskbridge.example/damaskbridge/control"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/keys"
	"damaskbridge.example/damaskbridge/transport"
	"github.com/phuslu/log"
)

// Run runs an entry VM with the given configuration until ctx ends, then drains
// it.
func Run(ctx context.Context, c *config.Entry) error {
	logger := &log.Logger{Level: log.ParseLevel(string(c.Process.LogLevel)), Writer: log.IOWriter{Writer: os.Stderr}}
	creds, err := keys.Open(string(c.Keys))
	if err != nil {
		return fmt.Errorf("entry: keys: %w", err)
	}
	caller := transport.NewClient(creds)
	defer func() { _ = caller.Close() }()
	s, err := NewServer(optionsOf(c, caller, logger))
	if err != nil {
		return err
	}
	if err := s.Start(); err != nil {
		return err
	}
	logger.Info().Str("address", s.Addr()).Str("vm", string(c.VM.Name)).Msg("entry: serving callers")
	<-ctx.Done()
	return s.Drain(context.Background())
}

// optionsOf converts the configuration file to server options.
func optionsOf(c *config.Entry, caller transport.Caller, logger *log.Logger) Options {
	addrs := make([]string, 0, len(c.Control))
	for _, a := range c.Control {
		addrs = append(addrs, string(a))
	}
	writer := audit.WriterOptions{FlushAfter: time.Duration(c.Audit.FlushAfter), BufferRecords: c.Audit.BufferRecords}
	return Options{
		VM:              ids.VMID(c.VM.Name),
		Region:          ids.Region(c.VM.Region),
		Listen:          string(c.Listen),
		Advertise:       string(c.Advertise),
		Control:         control.NewClient(caller, addrs),
		Audit:           NewSessionRecorder(caller, addrs, writer),
		MembersURL:      string(c.MembersURL),
		MembersInterval: time.Duration(c.MembersEvery),
		HeaderTimeout:   time.Duration(c.Callers.HeaderTimeout),
		IdleTimeout:     time.Duration(c.Callers.IdleTimeout),
		MaxHeaderBytes:  int(c.Callers.MaxHeader),
		Memory:          buffers.ForProcess(int64(c.Memory)),
		MaxConns:        c.Clients.MaxConns(c.Memory),
		WriteTimeout:    c.Clients.WriteTimeout.Std(),
		DrainTimeout:    time.Duration(c.Process.DrainWait),
		Logger:          logger,
	}
}
