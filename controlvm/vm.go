package controlvm

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/admin"
	"damaskbridge.example/damaskbridge/audit"
	"damaskbridge.example/damaskbridge/control"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/machine"
	"damaskbridge.example/damaskbridge/session"
	"damaskbridge.example/damaskbridge/transport"
	"github.com/phuslu/log"
)

// VM is one running control VM.
type VM struct {
	opts    Options
	log     *log.Logger
	machine *machine.Machine
	clock   machine.Clock
	replica *control.Replica
	server  *control.Server
	store   *audit.Store
	copies  *audit.CopyDir
	// source names this VM's audit store at the VM that keeps its copy.
	source ids.VMID
	caller *transport.Client
	rpc    *transport.Server
	admin  net.Listener
	http   *http.Server
	stop   context.CancelFunc
	loops  sync.WaitGroup
}

// Start opens the files and begins to serve. Damaged files give an error that
// names the remedy.
func Start(o Options) (*VM, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Level: log.PanicLevel}
	}
	v := &VM{opts: o, log: o.Logger, machine: machine.New(), caller: transport.NewClient(o.Creds)}
	if err := v.start(); err != nil {
		v.Close()
		return nil, err
	}
	return v, nil
}

func (v *VM) start() error {
	if err := v.openFiles(); err != nil {
		return err
	}
	v.server = control.NewServer(v.replica)
	v.handleAudit()
	v.handleLocate()
	api := admin.New(&backend{vm: v}, v.opts.Operators)
	var err error
	if v.rpc, err = transport.Listen(v.opts.Listen, v.opts.Creds, v.server); err != nil {
		return fmt.Errorf("controlvm: listen on %s: %w", v.opts.Listen, err)
	}
	if v.admin, err = net.Listen("tcp", v.opts.Admin); err != nil {
		return fmt.Errorf("controlvm: listen on %s: %w; choose a free address", v.opts.Admin, err)
	}
	if v.opts.AdminTLS {
		v.admin = tls.NewListener(v.admin, admin.TLSConfig(v.opts.Creds))
	}
	v.http = &http.Server{Handler: v.mux(api, v.opts.Operators), ReadHeaderTimeout: headerTimeout}
	ctx, stop := context.WithCancel(context.Background())
	v.stop = stop
	v.loops.Go(func() { _ = v.http.Serve(v.admin) })
	v.loops.Go(func() { v.runCopies(ctx) })
	v.loops.Go(func() { v.runRetire(ctx) })
	return nil
}

// headerTimeout limits the reading of an operator's request headers.
const headerTimeout = 10 * time.Second

// openFiles opens the audit log and the replica.
func (v *VM) openFiles() error {
	o := audit.Options{SegmentBytes: v.opts.SegmentBytes, Retention: v.opts.Retention}
	dir := filepath.Join(v.opts.Data, "audit")
	store, err := audit.Open(dir, o)
	if err != nil {
		return fmt.Errorf("controlvm: audit log: %w", err)
	}
	v.store = store
	if v.source, err = auditSource(v.opts.VM, dir); err != nil {
		return err
	}
	v.replica, err = control.Open(control.Options{
		Self:    v.opts.VM,
		Group:   ids.SettingsGroup,
		Addr:    v.ownAddr(),
		Peers:   v.opts.Peers,
		Dir:     filepath.Join(v.opts.Data, "groups", "1"),
		Machine: v.machine,
		Views:   v.views(),
		Clock:   func() int64 { return v.clock.Now(time.Now(), v.machine.NowUnixMS()) },
		Freeze:  func() func() ([]byte, error) { return v.machine.Freeze().Encode },
		Caller:  v.caller,
		Logger:  v.log,

		LeaseTerm:   leaseTerm,
		RetireEvery: machine.RetireEvery,
	})
	if err != nil {
		return fmt.Errorf("controlvm: replica: %w", err)
	}
	return nil
}

// ownAddr gives the address at which the others call this VM.
func (v *VM) ownAddr() string {
	for _, p := range v.opts.Peers {
		if p.VM == v.opts.VM {
			return p.Addr
		}
	}
	return v.opts.Listen
}

// views read the state machine for the replica.
func (v *VM) views() control.Views {
	return control.Views{
		Settings:     func() control.SettingsView { return v.machine.Tree() },
		Sessions:     v.openSessions,
		IsOpen:       v.isOpen,
		RetireBefore: v.machine.RetireBefore,
	}
}

func (v *VM) isOpen(id ids.SessionID) bool {
	info, ok := v.machine.Session(id)
	return ok && info.End == session.Open
}

func (v *VM) openSessions() []ids.SessionID {
	open := v.machine.OpenSessions()
	list := make([]ids.SessionID, 0, len(open))
	for _, info := range open {
		list = append(list, info.Session)
	}
	return list
}

// Addr gives the address for calls, AdminAddr that for operators.
func (v *VM) Addr() string { return v.rpc.Addr() }

// AdminAddr gives the address for operators.
func (v *VM) AdminAddr() string { return v.admin.Addr().String() }

// Ready says why this VM can't serve entry VMs; nil if it can.
func (v *VM) Ready() error { return v.server.Ready() }

// Done is closed when the replica has ended by itself, as after a failed fsync.
func (v *VM) Done() <-chan struct{} { return v.replica.Done() }

// Err says why the replica has ended.
func (v *VM) Err() error { return v.replica.Err() }

// Drain hands leadership over, lets running calls end and flushes the files.
func (v *VM) Drain(ctx context.Context) error {
	v.log.Info().Msg("control: draining")
	err := v.replica.Close(ctx)
	err = errors.Join(err, v.rpc.Drain(ctx))
	v.Close()
	return err
}

// Close stops at once. What was acknowledged is durable.
func (v *VM) Close() {
	if v.stop != nil {
		v.stop()
	}
	if v.server != nil {
		v.server.Close()
	}
	if v.replica != nil {
		now, cancel := context.WithCancel(context.Background())
		cancel()
		_ = v.replica.Close(now)
	}
	if v.rpc != nil {
		_ = v.rpc.Close()
	}
	if v.http != nil {
		_ = v.http.Close()
	} else if v.admin != nil {
		_ = v.admin.Close()
	}
	v.loops.Wait()
	if v.store != nil {
		_ = v.store.Close()
	}
	_ = v.caller.Close()
}
