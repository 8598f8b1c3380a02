// Package cluster runs a complete deployment in one process on loopback:
// control VMs, entry VMs and the simulated upstream fleet, with real sockets
// and files. It serves demos, tests and experiments.
package cluster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"damaskbridge.example/damaskbridge/admin"
	"damaskbridge.example/damaskbridge/audit"
	"damaskbridge.example/damaskbridge/control"
	"damaskbridge.example/damaskbridge/controlvm"
	"damaskbridge.example/damaskbridge/entry"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/keys"
	"damaskbridge.example/damaskbridge/load"
	"damaskbridge.example/damaskbridge/sample"
	"damaskbridge.example/damaskbridge/standin"
	"damaskbridge.example/damaskbridge/transport"
	"github.com/phuslu/log"
)

// Options configures a Cluster.
type Options struct {
	Deployment *sample.Deployment
	// Controls and Entries are the numbers of control and entry VMs, assigned
	// to the deployment's regions in turn.
	Controls int
	Entries  int
	// Dir is the parent of the control VMs' data directories.
	Dir string
	// Policy is the request policy of the entry VMs.
	Policy entry.Policy
	// Seed is the base of the entry VMs' random seeds.
	Seed int64
	// Logger receives the logs of all VMs; nil discards all but panics.
	Logger *log.Logger
}

// OperatorToken is the operator token that every cluster accepts.
const OperatorToken = "dbo_sample-operator"

// Cluster is a running deployment.
type Cluster struct {
	opts     Options
	creds    map[ids.VMID]transport.Credentials
	peers    []control.Peer // the control VMs
	Fleet    *standin.Fleet
	Controls []*controlvm.VM
	Entries  []*entry.Server
	// clients are the entry VMs' connections to the control VMs.
	clients []*transport.Client
}

// Start starts the fleet, the control VMs and the entry VMs, applies the
// deployment's settings document and waits until every entry VM is ready. On
// error it stops what it has started.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	if o.Logger == nil {
		o.Logger = &log.Logger{Level: log.PanicLevel}
	}
	c := &Cluster{opts: o}
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	var err error
	if c.creds, err = keys.NewEphemeral(c.allVMs()...); err != nil {
		return err
	}
	if c.Fleet, err = standin.StartFleet(c.opts.Deployment.Fleet); err != nil {
		return err
	}
	if err := c.reservePorts(); err != nil {
		return err
	}
	for i := range c.opts.Controls {
		v, err := c.StartControl(i)
		if err != nil {
			return err
		}
		c.Controls = append(c.Controls, v)
	}
	if err := c.Apply(ctx, "sample-document", c.opts.Deployment.SettingsDocument()); err != nil {
		return err
	}
	for i := range c.opts.Entries {
		s, err := c.StartEntry(i)
		if err != nil {
			return err
		}
		c.Entries = append(c.Entries, s)
	}
	return c.awaitReady(ctx)
}

func controlID(i int) ids.VMID { return ids.VMID(fmt.Sprintf("control-%d", i+1)) }
func entryID(i int) ids.VMID   { return ids.VMID(fmt.Sprintf("entry-%d", i+1)) }

// Region returns the region of the i-th VM of either role.
func (c *Cluster) Region(i int) ids.Region {
	return c.opts.Deployment.Regions[i%len(c.opts.Deployment.Regions)]
}

func (c *Cluster) allVMs() []transport.Peer {
	var all []transport.Peer
	for i := range c.opts.Controls {
		all = append(all, transport.Peer{VM: controlID(i), Role: transport.RoleControl})
	}
	for i := range c.opts.Entries {
		all = append(all, transport.Peer{VM: entryID(i), Role: transport.RoleEntry})
	}
	return all
}

// reservePorts picks free UDP ports for the control VMs, which must know each
// other's addresses before the first one starts. The ports are released on
// return so that StartControl can bind them.
func (c *Cluster) reservePorts() error {
	var conns []net.PacketConn
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	for i := range c.opts.Controls {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("cluster: reserve a UDP port: %w", err)
		}
		conns = append(conns, conn)
		peer := control.Peer{VM: controlID(i), Region: c.Region(i), Addr: conn.LocalAddr().String(), Voter: true}
		c.peers = append(c.peers, peer)
	}
	return nil
}

// ControlDir returns the data directory of the i-th control VM.
func (c *Cluster) ControlDir(i int) string {
	return filepath.Join(c.opts.Dir, string(controlID(i)))
}

// StartControl starts the i-th control VM on its data directory; files from an
// earlier run are kept.
func (c *Cluster) StartControl(i int) (*controlvm.VM, error) {
	if err := os.MkdirAll(c.ControlDir(i), 0o700); err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	operators, err := admin.NewOperators([]admin.Operator{{Name: "operator", TokenSHA256: []string{keys.TokenDigest(OperatorToken)}}})
	if err != nil {
		return nil, err
	}
	return controlvm.Start(controlvm.Options{
		VM:        controlID(i),
		Region:    c.Region(i),
		Listen:    c.peers[i].Addr,
		Admin:     "127.0.0.1:0",
		Data:      c.ControlDir(i),
		Peers:     c.peers,
		Creds:     c.creds[controlID(i)],
		Operators: operators,
		CopyTo:    c.peers[(i+1)%len(c.peers)].Addr,
		Logger:    c.opts.Logger,
	})
}

// StartEntry starts the i-th entry VM, which opens a new session.
func (c *Cluster) StartEntry(i int) (*entry.Server, error) {
	client := transport.NewClient(c.creds[entryID(i)])
	c.clients = append(c.clients, client)
	addrs := c.controlAddrs(i)
	s, err := entry.NewServer(entry.Options{
		VM:         entryID(i),
		Region:     c.Region(i),
		Listen:     "127.0.0.1:0",
		Control:    control.NewClient(client, addrs),
		Audit:      entry.NewSessionRecorder(client, addrs, audit.WriterOptions{}),
		MembersURL: c.Fleet.RegionMembersURL(c.Region(i)),
		Seed:       c.opts.Seed + int64(i) + 1,
		Policy:     c.opts.Policy,
		Logger:     c.opts.Logger,
	})
	if err != nil {
		return nil, err
	}
	return s, s.Start()
}

// controlAddrs returns the control VMs' addresses in the order of preference of
// the i-th entry VM: its own region first.
func (c *Cluster) controlAddrs(i int) []string {
	var local, remote []string
	for _, p := range c.peers {
		if p.Region == c.Region(i) {
			local = append(local, p.Addr)
		} else {
			remote = append(remote, p.Addr)
		}
	}
	return append(local, remote...)
}

// awaitReady waits until every entry VM accepts requests.
func (c *Cluster) awaitReady(ctx context.Context) error {
	for _, s := range c.Entries {
		if err := poll(ctx, s.Ready); err != nil {
			return fmt.Errorf("cluster: entry VM %s is not ready: %w", s.Addr(), err)
		}
	}
	return nil
}

// poll calls f until it succeeds or ctx is done. It calls f at least once and
// returns the last error joined with that of ctx.
func poll(ctx context.Context, f func() error) error {
	const interval = 20 * time.Millisecond
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		case <-time.After(interval):
		}
	}
}

// Targets returns the entry VMs in the form that load.Options takes.
func (c *Cluster) Targets() []load.Entry {
	var out []load.Entry
	for i, s := range c.Entries {
		out = append(out, load.Entry{Name: string(entryID(i)), URL: "http://" + s.Addr(), Region: c.Region(i)})
	}
	return out
}

// AdminURL returns the base URL of the i-th control VM's operator API.
func (c *Cluster) AdminURL(i int) string { return "http://" + c.Controls[i].AdminAddr() }

// Close stops all VMs and the fleet without draining.
func (c *Cluster) Close() {
	for _, s := range c.Entries {
		s.Close()
	}
	for _, client := range c.clients {
		_ = client.Close()
	}
	for _, v := range c.Controls {
		v.Close()
	}
	if c.Fleet != nil {
		c.Fleet.Close()
	}
}
