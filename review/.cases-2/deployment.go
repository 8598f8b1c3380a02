package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all machines, as on the users' platform.
const (
	portFront   = 8625
	portReady   = 8621
	portControl = 8628
	portInner   = 7740
	portMetrics = 9464
	portRunner  = 8080
	portList    = 8624
)

// Limits of a machine, those of gwbh-relay.
const (
	frontMemoryMB = 284
	coreMemoryMB  = 280
	frontFiles    = 4100
)

// zones are the data centres, one in each region.
var zones = []string{"za", "zb", "zc"}

const zoneTable = `{"za": "ra", "zb": "rb", "zc": "rc"}`

// deployment is a small deployment on loopback addresses.
type deployment struct {
	rec     *record
	dir     string
	program string
	prefix  string
	control []*machine
	entry   []*machine
	// seeds are the addresses of three control machines, quoted.
	seeds []string
}

// machine is one process and its settings.
type machine struct {
	d        *deployment
	name     string
	role     string
	ip       string
	zone     string
	memoryMB int
	settings string
	data     string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// stopping is true once the case ends the process on purpose.
	stopping bool
	// ends counts the ends that the case did not ask for.
	ends int
}

// freePrefix returns the first three bytes of loopback addresses whose ports are free.
func freePrefix() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250))
		if portsFree(prefix) {
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func portsFree(prefix string) bool {
	for _, last := range []int{1, 11, 31, 200} {
		for _, port := range []int{portFront, portReady, portControl, portInner, portMetrics, portRunner, portList} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, last, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func newDeployment(rec *record, controls, entries int) (*deployment, error) {
	prefix, err := freePrefix()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/damask-platform")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, program: program, prefix: prefix}
	atEnd(d.stopAll)
	for i := range controls {
		d.control = append(d.control, d.newMachine("control", i, 1+i))
	}
	for i := range entries {
		d.entry = append(d.entry, d.newMachine("entry", i, 11+i))
	}
	for _, m := range d.control[:min(3, controls)] {
		d.seeds = append(d.seeds, fmt.Sprintf("%q", m.addr(portControl)))
	}
	return d, nil
}

func (d *deployment) newMachine(role string, index, last int) *machine {
	name := fmt.Sprintf("%s-%d", role, index+1)
	m := &machine{
		d: d, name: name, role: role, ip: fmt.Sprintf("%s%d", d.prefix, last), zone: zones[index%len(zones)],
		memoryMB: frontMemoryMB, settings: filepath.Join(d.dir, name+".yaml"),
	}
	if role == "control" {
		m.memoryMB = coreMemoryMB
		m.data = filepath.Join(d.dir, name)
	}
	return m
}

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

func (d *deployment) listAddr() string { return fmt.Sprintf("%s200:%d", d.prefix, portList) }

func (d *deployment) runnerAddr(i int) string {
	return fmt.Sprintf("%s%d:%d", d.prefix, 31+i, portRunner)
}

// writeSettings fills in the template deploy/settings.yaml.
func (m *machine) writeSettings(firstStart bool) error {
	var b strings.Builder
	fmt.Fprintf(&b, "vm:\n  name: %q\n  region: %q\n  data_centre: %q\n", m.name, "r"+m.zone[1:], m.zone)
	fmt.Fprintf(&b, "ip: %q\ninter_vm_port: %d\nseeds: [%s]\nfirst_start: %t\nregions: %s\n", m.ip, portInner, strings.Join(m.d.seeds, ","), firstStart, zoneTable)
	if m.role == "entry" {
		fmt.Fprintf(&b, "callers: %q\nready: %q\n", m.addr(portFront), m.addr(portReady))
	} else {
		fmt.Fprintf(&b, "operators: %q\ndata: %q\n", m.addr(portControl), m.data)
	}
	fmt.Fprintf(&b, "memory: %dMiB\ntolerated_losses: 2\nrunner_list: %q\ndrain_time: 4000ms\n", m.memoryMB, m.d.listAddr())
	fmt.Fprintf(&b, "process:\n  log_level: info\n  drain_wait: 8s\nrepeats:\n  window: 10s\n  ratio: 0.2\n  slack: 54\n\nclients: {descriptors: %d}\n", frontFiles)
	return os.WriteFile(m.settings, []byte(b.String()), 0o600)
}

// start starts the process with the command of the deploy file.
func (m *machine) start(firstStart bool) error {
	if err := m.writeSettings(firstStart); err != nil {
		return err
	}
	if m.data != "" {
		if err := os.MkdirAll(m.data, 0o700); err != nil {
			return err
		}
	}
	out, err := os.OpenFile(filepath.Join(m.d.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command(m.d.program, m.role)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DAMASKBRIDGE_CONFIG=" + m.settings}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.process, m.exited, m.stopping = c, exited, false
	m.mu.Unlock()
	m.d.rec.printf("platform: %s started, pid %d", m.name, c.Process.Pid)
	go func() {
		err := c.Wait()
		m.mu.Lock()
		if !m.stopping {
			m.ends++
		}
		m.mu.Unlock()
		m.d.rec.printf("platform: %s ended: %v", m.name, err)
		close(exited)
	}()
	return nil
}

// pid returns the process's ID, 0 if it does not run.
func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return 0
	}
	select {
	case <-m.exited:
		return 0
	default:
		return m.process.Process.Pid
	}
}

// signal sends a signal to the process that this case has started.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		m.stopping = true
	}
	m.d.rec.printf("platform: %s to %s", s, m.name)
	_ = m.process.Process.Signal(s)
}

// awaitEnd waits for the end of the process.
func (m *machine) awaitEnd(limit time.Duration) bool {
	select {
	case <-m.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

func (d *deployment) machines() []*machine {
	return append(append([]*machine(nil), d.control...), d.entry...)
}

// ownEnds returns how often the process has ended without having been asked to.
func (m *machine) ownEnds() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ends
}

func (d *deployment) startAll() error {
	for _, m := range d.machines() {
		if err := m.start(true); err != nil {
			return err
		}
	}
	return nil
}

// stopAll ends all processes.
func (d *deployment) stopAll() {
	for _, m := range d.machines() {
		if m.pid() != 0 {
			m.signal(syscall.SIGKILL)
			m.awaitEnd(5 * time.Second)
		}
	}
	_ = os.RemoveAll(d.dir)
}
