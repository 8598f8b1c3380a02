// Package cluster runs a whole deployment in one process on loopback: control
// VMs, entry VMs and the simulated fleet, over real sockets and files. It is
// for a first try, for tests and for experiments.
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

// Options describe a cluster.
type Options struct {
	Deployment *sample.Deployment
	// Controls and Entries are the numbers of VMs, spread over the regions.
	Controls int
	Entries  int
	// Dir is the folder of the control VMs' files.
	Dir string
	// Policy is that of the entry VMs.
	Policy entry.Policy
	Seed   int64
	Logger *log.Logger
}

// OperatorToken is the operators' token of every cluster.
const OperatorToken = "dbo_sample-operator"

// Cluster is a running deployment.
type Cluster struct {
	opts     Options
	creds    map[ids.VMID]transport.Credentials
	peers    []control.Peer
	Fleet    *standin.Fleet
	Controls []*controlvm.VM
	Entries  []*entry.Server
	callers  []*transport.Client
}

// Start starts all parts, applies the deployment's settings and waits until
// every entry VM is ready.
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
	if c.creds, err = keys.Ephemeral(c.allPeers()...); err != nil {
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
	if err := c.Apply(ctx, "sample-document", c.opts.Deployment.Document()); err != nil {
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

func controlName(i int) ids.VMID { return ids.VMID(fmt.Sprintf("control-%d", i+1)) }
func entryName(i int) ids.VMID   { return ids.VMID(fmt.Sprintf("entry-%d", i+1)) }

// Region gives the region of the i-th VM of a role.
func (c *Cluster) Region(i int) ids.Region {
	return c.opts.Deployment.Regions[i%len(c.opts.Deployment.Regions)]
}

func (c *Cluster) allPeers() []transport.Peer {
	var all []transport.Peer
	for i := range c.opts.Controls {
		all = append(all, transport.Peer{VM: controlName(i), Role: transport.RoleControl})
	}
	for i := range c.opts.Entries {
		all = append(all, transport.Peer{VM: entryName(i), Role: transport.RoleEntry})
	}
	return all
}

// reservePorts finds free UDP ports for the control VMs, which must know each
// other's addresses before the first one starts.
func (c *Cluster) reservePorts() error {
	var held []net.PacketConn
	defer func() {
		for _, p := range held {
			_ = p.Close()
		}
	}()
	for i := range c.opts.Controls {
		p, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("cluster: no free port: %w", err)
		}
		held = append(held, p)
		peer := control.Peer{VM: controlName(i), Region: c.Region(i), Addr: p.LocalAddr().String(), Voter: true}
		c.peers = append(c.peers, peer)
	}
	return nil
}

// ControlDir gives the data folder of the i-th control VM.
func (c *Cluster) ControlDir(i int) string {
	return filepath.Join(c.opts.Dir, string(controlName(i)))
}

// StartControl starts the i-th control VM with the files that it has.
func (c *Cluster) StartControl(i int) (*controlvm.VM, error) {
	if err := os.MkdirAll(c.ControlDir(i), 0o700); err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	operators, err := admin.NewOperators([]admin.Operator{{Name: "operator", TokenSHA256: []string{keys.Digest(OperatorToken)}}})
	if err != nil {
		return nil, err
	}
	return controlvm.Start(controlvm.Options{
		VM:        controlName(i),
		Region:    c.Region(i),
		Listen:    c.peers[i].Addr,
		Admin:     "127.0.0.1:0",
		Data:      c.ControlDir(i),
		Peers:     c.peers,
		Creds:     c.creds[controlName(i)],
		Operators: operators,
		CopyTo:    c.peers[(i+1)%len(c.peers)].Addr,
		Logger:    c.opts.Logger,
	})
}

// StartEntry starts the i-th entry VM in a new life.
func (c *Cluster) StartEntry(i int) (*entry.Server, error) {
	caller := transport.NewClient(c.creds[entryName(i)])
	c.callers = append(c.callers, caller)
	addrs := c.nearest(i)
	s, err := entry.NewServer(entry.Options{
		VM:         entryName(i),
		Region:     c.Region(i),
		Listen:     "127.0.0.1:0",
		Control:    control.NewClient(caller, addrs),
		Audit:      entry.NewSessionRecorder(caller, addrs, audit.WriterOptions{}),
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

// nearest lists the control VMs' addresses, those of the VM's region first.
func (c *Cluster) nearest(i int) []string {
	var near, far []string
	for _, p := range c.peers {
		if p.Region == c.Region(i) {
			near = append(near, p.Addr)
		} else {
			far = append(far, p.Addr)
		}
	}
	return append(near, far...)
}

// awaitReady waits until every entry VM takes requests.
func (c *Cluster) awaitReady(ctx context.Context) error {
	for _, s := range c.Entries {
		if err := poll(ctx, s.Ready); err != nil {
			return fmt.Errorf("cluster: entry VM %s is not ready: %w", s.Addr(), err)
		}
	}
	return nil
}

// poll calls f until it succeeds or ctx ends.
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

// Targets lists the entry VMs for a load.
func (c *Cluster) Targets() []load.Entry {
	var out []load.Entry
	for i, s := range c.Entries {
		out = append(out, load.Entry{Name: string(entryName(i)), URL: "http://" + s.Addr(), Region: c.Region(i)})
	}
	return out
}

// AdminURL gives the operators' URL of the i-th control VM.
func (c *Cluster) AdminURL(i int) string { return "http://" + c.Controls[i].AdminAddr() }

// Close stops everything at once.
func (c *Cluster) Close() {
	for _, s := range c.Entries {
		s.Close()
	}
	for _, caller := range c.callers {
		_ = caller.Close()
	}
	for _, v := range c.Controls {
		v.Close()
	}
	if c.Fleet != nil {
		c.Fleet.Close()
	}
}
