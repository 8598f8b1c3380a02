package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	controlVMs = 5
	seedVMs    = 3
	// graceTime is what the platform leaves a process after SIGTERM.
	graceTime = 8 * time.Second
	// memoryMB is the memory limit of a VM unless a case sets another one.
	memoryMB = 284
)

// system is a small deployment of the project's own processes on a loopback
// network of its own.
type system struct {
	rec     *record
	net     string
	ports   ports
	folder  string
	root    string
	list    *runnerList
	control []*vm
	entries []*vm
	// entryMemoryMB is the memory limit of an entry VM.
	entryMemoryMB int

	mu  sync.Mutex
	all []*vm
}

// ports are the ports of the system, the same on all VMs.
type ports struct{ callers, ready, operators, inner, list int }

// newSystem prepares a system; start starts it.
func newSystem(rec *record) (*system, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target", "damask-platform")); err != nil {
		return nil, fmt.Errorf("run the build of the deploy file first: %w", err)
	}
	folder, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, folder: folder, root: root, entryMemoryMB: memoryMB}
	if s.net, s.ports, err = freeNetwork(); err != nil {
		return nil, err
	}
	if s.list, err = newRunnerList(s.addr(200, s.ports.list)); err != nil {
		return nil, err
	}
	return s, nil
}

// freeNetwork finds a part of the loopback network and ports that are free on
// its addresses.
func freeNetwork() (prefix string, p ports, err error) {
	for range 50 {
		prefix = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		base := 20000 + 10*rand.IntN(1000)
		p = ports{callers: base, ready: base + 1, operators: base + 2, inner: base + 3, list: base + 4}
		if allFree(prefix, base) {
			return prefix, p, nil
		}
	}
	return "", ports{}, errors.New("no free ports on the loopback network")
}

func allFree(prefix string, base int) bool {
	for _, host := range []int{1, 2, 3, 4, 5, 6, 11, 12, 13, 200} {
		for port := base; port < base+5; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (s *system) addr(host, port int) string { return fmt.Sprintf("%s.%d:%d", s.net, host, port) }

// start starts the control VMs and entry VMs.
func (s *system) start(entries int) error {
	for n := 1; n <= controlVMs; n++ {
		s.control = append(s.control, s.newVM("control", n, true))
	}
	for n := range entries {
		s.entries = append(s.entries, s.newVM("entry", 11+n, true))
	}
	for _, v := range s.all {
		if err := v.start(); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all entry VMs say that they are ready.
func (s *system) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, v := range s.entries {
		for {
			resp, err := http.Get("http://" + s.addr(v.host, s.ports.ready) + "/-/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", v.name, limit)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// startServing starts the VMs and publishes the first configuration.
func (s *system) startServing(entries int, first *document) error {
	if err := s.start(entries); err != nil {
		return err
	}
	if err := s.put(first, s.control, 15*time.Second); err != nil {
		return err
	}
	return s.awaitReady(15 * time.Second)
}

// end ends all processes and removes the temporary folder.
func (s *system) end() {
	s.mu.Lock()
	all := s.all
	s.mu.Unlock()
	for _, v := range all {
		v.kill()
	}
	s.list.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

// vm is one VM of the system with its process.
type vm struct {
	s          *system
	name       string
	role       string
	host       int
	firstStart bool
	dataFolder string

	mu    sync.Mutex
	child *exec.Cmd
	ended chan struct{}
}

func (s *system) newVM(role string, host int, firstStart bool) *vm {
	v := &vm{s: s, name: fmt.Sprintf("%s-%d", role, host), role: role, host: host, firstStart: firstStart}
	v.dataFolder = filepath.Join(s.folder, v.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, v)
	return v
}

// settings is the settings file of a VM, as deploy/settings.yaml makes it of the
// platform's fields.
func (v *vm) settings() string {
	s := v.s
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	var seeds []string
	for n := 1; n <= seedVMs; n++ {
		seeds = append(seeds, fmt.Sprintf("%q", s.addr(n, s.ports.operators)))
	}
	line("vm: {name: %q, region: %q, data_centre: %q}", v.name, "lagos", "lagos-ikeja")
	line("ip: %q", fmt.Sprintf("%s.%d", s.net, v.host))
	line("inter_vm_port: %d", s.ports.inner)
	line("seeds: [%s]", strings.Join(seeds, ","))
	line("first_start: %t", v.firstStart)
	line("regions: {%q: %q}", "lagos-ikeja", "lagos")
	if v.role == "entry" {
		line("callers: %q", s.addr(v.host, s.ports.callers))
		line("ready: %q", s.addr(v.host, s.ports.ready))
	} else {
		line("operators: %q", s.addr(v.host, s.ports.operators))
		line("data: %q", v.dataFolder)
	}
	limit := memoryMB
	if v.role == "entry" {
		limit = s.entryMemoryMB
	}
	line("memory: %dMiB", limit)
	line("tolerated_losses: 2")
	line("runner_list: %q", s.list.addrFor(v.host))
	line("drain_time: 4000ms")
	line("process: {log_level: info, drain_wait: %s}", graceTime)
	line("repeats: {window: 10s, ratio: 0.2, slack: 54}")
	return b.String()
}

// start starts the process with the command of the deploy file.
func (v *vm) start() error {
	path := filepath.Join(v.s.folder, v.name+".yaml")
	if err := os.WriteFile(path, []byte(v.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(v.s.folder, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	if v.role == "control" {
		if err := os.MkdirAll(v.dataFolder, 0o700); err != nil {
			return err
		}
	}
	child := exec.Command(filepath.Join("target", "damask-platform"), v.role)
	child.Dir = v.s.root
	child.Env = []string{"DAMASKBRIDGE_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + v.s.folder, "LANG=C"}
	child.Stdout, child.Stderr = log, log
	if err := child.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = child.Wait()
		close(ended)
	}()
	v.mu.Lock()
	v.child, v.ended = child, ended
	v.mu.Unlock()
	// Only the first start is one with empty disks.
	v.firstStart = false
	return nil
}

func (v *vm) signal(sig syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.child != nil {
		// A process that has ended needs no signal.
		_ = v.child.Process.Signal(sig)
	}
}

// kill ends the process at once.
func (v *vm) kill() {
	v.mu.Lock()
	ended := v.ended
	v.mu.Unlock()
	if ended == nil {
		return
	}
	v.signal(syscall.SIGKILL)
	<-ended
}

// stop sends SIGTERM, and SIGKILL after the grace time.
func (v *vm) stop() {
	v.mu.Lock()
	ended := v.ended
	v.mu.Unlock()
	v.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(graceTime):
		v.kill()
	}
}

// loseDisk empties the data folder of a VM whose process has ended.
func (v *vm) loseDisk() error { return os.RemoveAll(v.dataFolder) }
