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
	// auditSource is the name of this VM's audit log on the control VM that keeps
	// its copy.
	auditSource ids.VMID
	caller      *transport.Client
	rpc         *transport.Server
	admin       net.Listener
	http        *http.Server
	stop        context.CancelFunc
	tasks       sync.WaitGroup
}

// Start opens the persistent data and starts to serve. For corrupt files the
// error says how to recover.
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
	if err := v.openStorage(); err != nil {
		return err
	}
	v.server = control.NewServer(v.replica)
	v.registerAudit()
	v.registerLocate()
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
	v.http = &http.Server{Handler: v.adminHandler(api, v.opts.Operators), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	ctx, stop := context.WithCancel(context.Background())
	v.stop = stop
	v.tasks.Go(func() { _ = v.http.Serve(v.admin) })
	v.tasks.Go(func() { v.runReplication(ctx) })
	v.tasks.Go(func() { v.runRetention(ctx) })
	return nil
}

const (
	// headerTimeout is the timeout for reading the headers of an operator's request,
	// idleTimeout how long a connection may wait for the next one.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes is the maximum size of such headers.
	maxHeaderBytes = 16 << 10
)

// openStorage opens the audit log and the replica's data.
func (v *VM) openStorage() error {
	o := audit.Options{SegmentBytes: v.opts.SegmentBytes, Retention: v.opts.Retention}
	dir := filepath.Join(v.opts.Data, "audit")
	store, err := audit.Open(dir, o)
	if err != nil {
		return fmt.Errorf("controlvm: audit log: %w", err)
	}
	v.store = store
	if v.auditSource, err = auditSourceName(v.opts.VM, dir); err != nil {
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

		LeaseTerm:      settingsLeaseTerm,
		RetireInterval: machine.RetireInterval,
	})
	if err != nil {
		return fmt.Errorf("controlvm: replica: %w", err)
	}
	return nil
}

// ownAddr returns the address at which other VMs call this VM.
func (v *VM) ownAddr() string {
	for _, p := range v.opts.Peers {
		if p.VM == v.opts.VM {
			return p.Addr
		}
	}
	return v.opts.Listen
}

// views returns the replica's read access to the state machine.
func (v *VM) views() control.Views {
	return control.Views{
		Settings:     func() control.SettingsView { return v.machine.Tree() },
		Sessions:     v.openSessions,
		IsOpen:       v.isOpen,
		RetireCutoff: v.machine.RetireCutoff,
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

// Addr returns the address of the RPC server.
func (v *VM) Addr() string { return v.rpc.Addr() }

// AdminAddr returns the address of the HTTP server for operators.
func (v *VM) AdminAddr() string { return v.admin.Addr().String() }

// Ready returns nil if this VM can serve entry VMs, otherwise an error with the
// reason.
func (v *VM) Ready() error { return v.server.Ready() }

// Done returns a channel that is closed when the replica stops on its own, for
// example after a failed fsync.
func (v *VM) Done() <-chan struct{} { return v.replica.Done() }

// Err returns the reason why the replica stopped.
func (v *VM) Err() error { return v.replica.Err() }

// Drain transfers leadership, waits for calls in progress, flushes the files and
// stops the VM.
func (v *VM) Drain(ctx context.Context) error {
	v.log.Info().Msg("control: draining")
	err := v.replica.Close(ctx)
	err = errors.Join(err, v.rpc.Drain(ctx))
	v.Close()
	return err
}

// Close stops the VM at once. Everything that was acknowledged is durable.
func (v *VM) Close() {
	if v.stop != nil {
		v.stop()
	}
	if v.server != nil {
		v.server.Close()
	}
	if v.replica != nil {
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		_ = v.replica.Close(canceled)
	}
	if v.rpc != nil {
		_ = v.rpc.Close()
	}
	if v.http != nil {
		_ = v.http.Close()
	} else if v.admin != nil {
		_ = v.admin.Close()
	}
	v.tasks.Wait()
	if v.store != nil {
		_ = v.store.Close()
	}
	_ = v.caller.Close()
}
