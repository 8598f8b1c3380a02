package e2e

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"damaskbridge.example/damaskbridge/cluster"
	"damaskbridge.example/damaskbridge/keys"
	"damaskbridge.example/damaskbridge/load"
	"damaskbridge.example/damaskbridge/sample"
)

// Options describe a system.
type Options struct {
	Deployment *sample.Deployment
	Controls   int
	Entries    int
	// Binaries is the folder of the programs, Dir that of everything else.
	Binaries string
	Dir      string
	// Links has the VMs call each other over relays, for Cut, CutBoth,
	// Isolate, Heal and Freeze.
	Links bool
}

const (
	// drainLimit limits one graceful stop.
	drainLimit = 60 * time.Second
	// pollInterval is the time between two looks at a process's state.
	pollInterval = 50 * time.Millisecond
)

// System is a deployment of separate processes.
type System struct {
	opts     Options
	ports    *portPicker
	fleet    *process
	admin    string
	controls []*vm
	entries  []*vm
	links    *links // nil without Options.Links
}

// vm is one entry or control VM: its addresses, its settings and its process.
type vm struct {
	name    string
	region  string
	program string
	listen  string
	// address is where other VMs call this one: listen, or its relay.
	address string
	admin   string
	file    string
	data    string
	process *process
}

// Start starts all processes, applies the settings and waits until every VM is
// ready.
func Start(ctx context.Context, o Options) (*System, error) {
	s := &System{opts: o, ports: newPortPicker()}
	if o.Links {
		s.links = newLinks()
	}
	if err := s.start(ctx); err != nil {
		err = fmt.Errorf("%w\n%s", err, s.logTails())
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *System) start(ctx context.Context) error {
	if err := s.plan(); err != nil {
		return err
	}
	if err := s.startFleet(ctx); err != nil {
		return err
	}
	for _, v := range s.controls {
		if err := s.startVM(v); err != nil {
			return err
		}
	}
	if err := s.apply(ctx); err != nil {
		return err
	}
	for _, v := range s.entries {
		if err := s.startVM(v); err != nil {
			return err
		}
	}
	for _, v := range s.entries {
		if err := s.awaitReady(ctx, v); err != nil {
			return err
		}
	}
	return nil
}

// regionOf returns the region of the i-th VM of a role and its loopback host.
func (s *System) regionOf(i int) (region, host string) {
	regions := s.opts.Deployment.Regions
	n := i % len(regions)
	return string(regions[n]), fmt.Sprintf("127.0.%d.%d", n+1, i+1)
}

// plan chooses names and addresses, issues certificates and writes settings.
func (s *System) plan() error {
	ca := filepath.Join(s.opts.Dir, "ca")
	if err := keys.InitCA(ca); err != nil {
		return err
	}
	for i := range s.opts.Controls {
		v, err := s.newVM(fmt.Sprintf("control-%d", i+1), "damask-control", i)
		if err != nil {
			return err
		}
		if s.links != nil {
			if v.address, err = s.links.add(v); err != nil {
				return err
			}
		}
		s.controls = append(s.controls, v)
	}
	for i := range s.opts.Entries {
		v, err := s.newVM(fmt.Sprintf("entry-%d", i+1), "damask-entry", i)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, v)
	}
	var err error
	if s.admin, err = s.ports.pick("127.0.0.1"); err != nil {
		return err
	}
	return s.writeSettings(ca)
}

func (s *System) newVM(name, program string, i int) (*vm, error) {
	region, host := s.regionOf(i)
	listen, err := s.ports.pick(host)
	if err != nil {
		return nil, err
	}
	admin, err := s.ports.pick(host)
	if err != nil {
		return nil, err
	}
	data := filepath.Join(s.opts.Dir, name)
	if err := os.MkdirAll(data, 0o700); err != nil {
		return nil, fmt.Errorf("e2e: %w", err)
	}
	v := &vm{name: name, region: region, program: program, listen: listen, address: listen, admin: admin, data: data}
	v.file = filepath.Join(s.opts.Dir, name+".yaml")
	return v, nil
}

func (s *System) startFleet(ctx context.Context) error {
	binary := filepath.Join(s.opts.Binaries, "damask-standin")
	p, err := startProcess("standin", binary, s.opts.Dir, "-preset", s.opts.Deployment.Name, "-admin", s.admin)
	if err != nil {
		return err
	}
	s.fleet = p
	return s.awaitStatus(ctx, p, "http://"+s.admin+"/members")
}

func (s *System) startVM(v *vm) error {
	p, err := startProcess(v.name, filepath.Join(s.opts.Binaries, v.program), s.opts.Dir, "-settings", v.file)
	if err != nil {
		return err
	}
	v.process = p
	if s.links != nil {
		s.links.started(v.name, p.cmd.Process.Pid)
	}
	return nil
}

// awaitReady waits until a VM's process reports ready.
func (s *System) awaitReady(ctx context.Context, v *vm) error {
	addr := v.listen
	if v.program == "damask-control" {
		addr = v.admin
	}
	return s.awaitStatus(ctx, v.process, "http://"+addr+"/readyz")
}

// awaitStatus waits until url answers with status 200.
func (s *System) awaitStatus(ctx context.Context, p *process, url string) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return fmt.Errorf("e2e: %w", err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("e2e: %s is not ready: %w", p.name, ctx.Err())
		case <-p.done:
			return fmt.Errorf("e2e: %s has ended: %w; see its log file", p.name, p.err)
		case <-time.After(pollInterval):
		}
	}
}

// Targets lists the entry VMs for a load.
func (s *System) Targets() []load.Entry {
	var out []load.Entry
	for i, v := range s.entries {
		out = append(out, load.Entry{Name: v.name, URL: "http://" + v.listen, Region: s.opts.Deployment.Regions[i%len(s.opts.Deployment.Regions)]})
	}
	return out
}

// Observer tells from the upstreams' side what really ran.
func (s *System) Observer() load.Observer { return load.HTTPObserver{URL: "http://" + s.admin} }

// AdminURLs lists the operators' addresses of the control VMs.
func (s *System) AdminURLs() []string {
	var out []string
	for _, v := range s.controls {
		out = append(out, "http://"+v.admin)
	}
	return out
}

// OperatorToken is the token that damaskctl needs.
func (s *System) OperatorToken() string { return cluster.OperatorToken }

// RestartEntry drains the i-th entry VM, starts it again and waits until it is
// ready.
func (s *System) RestartEntry(ctx context.Context, i int) error {
	return s.restart(ctx, s.entries[i])
}

// RestartControl does the same for a control VM.
func (s *System) RestartControl(ctx context.Context, i int) error {
	return s.restart(ctx, s.controls[i])
}

func (s *System) restart(ctx context.Context, v *vm) error {
	if err := v.process.stop(drainLimit); err != nil {
		return err
	}
	if err := s.startVM(v); err != nil {
		return err
	}
	return s.awaitReady(ctx, v)
}

// KillEntry ends the i-th entry VM's process at once; StartEntry starts it again.
func (s *System) KillEntry(i int) error { return s.entries[i].process.kill() }

// StartEntry starts the i-th entry VM and waits until it is ready.
func (s *System) StartEntry(ctx context.Context, i int) error {
	if err := s.startVM(s.entries[i]); err != nil {
		return err
	}
	return s.awaitReady(ctx, s.entries[i])
}

// KillControl ends the i-th control VM's process at once.
func (s *System) KillControl(i int) error { return s.controls[i].process.kill() }

// StartControl starts the i-th control VM and waits until it is ready.
func (s *System) StartControl(ctx context.Context, i int) error {
	if err := s.startVM(s.controls[i]); err != nil {
		return err
	}
	return s.awaitReady(ctx, s.controls[i])
}

// LoseDisk removes the files of a control VM whose process has ended.
func (s *System) LoseDisk(i int) error {
	return os.RemoveAll(filepath.Join(s.controls[i].data, "data"))
}

// FreezeEntry stops the i-th entry VM's process from running; ThawEntry lets it
// go on.
func (s *System) FreezeEntry(i int) error { return s.entries[i].process.signal(syscall.SIGSTOP) }

// ThawEntry lets a frozen entry VM go on.
func (s *System) ThawEntry(i int) error { return s.entries[i].process.signal(syscall.SIGCONT) }

// FreezeControl stops the i-th control VM's process from running.
func (s *System) FreezeControl(i int) error { return s.controls[i].process.signal(syscall.SIGSTOP) }

// ThawControl lets a frozen control VM go on.
func (s *System) ThawControl(i int) error { return s.controls[i].process.signal(syscall.SIGCONT) }

// Close ends all processes that this system started.
func (s *System) Close() {
	for _, v := range s.all() {
		if v.process != nil {
			_ = v.process.kill()
		}
	}
	if s.fleet != nil {
		_ = s.fleet.kill()
	}
	if s.links != nil {
		s.links.network.Close()
	}
}

// all lists the entry VMs and then the control VMs.
func (s *System) all() []*vm {
	return append(append([]*vm{}, s.entries...), s.controls...)
}

// Stop drains all VMs.
func (s *System) Stop() error {
	var errs []error
	for _, v := range s.all() {
		errs = append(errs, v.process.stop(drainLimit))
	}
	return errors.Join(errs...)
}
