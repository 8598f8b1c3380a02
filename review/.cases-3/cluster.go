package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of the processes. Each process has a loopback address of its own.
const (
	portInterVM   = 7740
	portCallers   = 8625
	portReady     = 8621
	portOperators = 8628
	portMetrics   = 9464
)

// vm is one process of the system under test.
type vm struct {
	name, role, ip, zone, dir string
	cmd                       *exec.Cmd
	ended                     chan struct{}
}

// cluster is a small deployment: processes of the deploy file on loopback.
type cluster struct {
	rec      *record
	net      string
	tmp      string
	program  string
	zones    map[string]string
	control  []*vm
	entry    []*vm
	platform string
	losses   int
	// extra is added to the settings of each process.
	extra string
	// env is added to the environment of each process.
	env []string
}

// freeNet returns the first three numbers of addresses on which all ports are free.
func freeNet() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for _, port := range []int{portInterVM, portCallers, portReady, portOperators, portMetrics} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, 11, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return prefix, nil
		}
	}
	return "", errors.New("no free ports")
}

// newCluster describes a deployment with control VMs and entry VMs, spread over zones.
func newCluster(rec *record, controls, entries int, zones []string) (*cluster, error) {
	prefix, err := freeNet()
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "damask-case-")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, net: prefix, tmp: tmp, program: "target/damask-platform", zones: map[string]string{}, losses: (controls - 1) / 2}
	for _, z := range zones {
		c.zones[z] = "region-" + z
	}
	for i := range controls {
		c.control = append(c.control, &vm{name: fmt.Sprintf("core-%d", i+1), role: "control", ip: fmt.Sprintf("%s%d", prefix, 11+i), zone: zones[i%len(zones)]})
	}
	for i := range entries {
		c.entry = append(c.entry, &vm{name: fmt.Sprintf("front-%d", i+1), role: "entry", ip: fmt.Sprintf("%s%d", prefix, 41+i), zone: zones[i%len(zones)]})
	}
	c.platform = fmt.Sprintf("%s%d:%d", prefix, 100, 8624)
	return c, nil
}

// settings renders the fields of deploy/settings.yaml.
func (c *cluster) settings(v *vm, first bool) string {
	var seeds []string
	for _, s := range c.control[:min(len(c.control), 3)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.ip, portOperators))
	}
	quoted, _ := json.Marshal(seeds)
	zones, _ := json.Marshal(c.zones)
	var b strings.Builder
	fmt.Fprintf(&b, "vm:\n  name: %q\n  region: %q\n  data_centre: %q\n", v.name, c.zones[v.zone], v.zone)
	fmt.Fprintf(&b, "ip: %q\ninter_vm_port: %d\nseeds: %s\nfirst_start: %v\nregions: %s\n", v.ip, portInterVM, quoted, first, zones)
	if v.role == "entry" {
		fmt.Fprintf(&b, "callers: \"%s:%d\"\nready: \"%s:%d\"\nmemory: 284MiB\nclients: {descriptors: 4100}\n", v.ip, portCallers, v.ip, portReady)
	} else {
		fmt.Fprintf(&b, "operators: \"%s:%d\"\ndata: %q\nmemory: 280MiB\nclients: {descriptors: 4096}\n", v.ip, portOperators, v.dir)
	}
	fmt.Fprintf(&b, "tolerated_losses: %d\nrunner_list: %q\ndrain_time: 4000ms\n", c.losses, c.platform)
	fmt.Fprintf(&b, "process:\n  log_level: info\n  drain_wait: 8s\nrepeats:\n  window: 10s\n  ratio: 0.2\n  slack: 54\n%s", c.extra)
	return b.String()
}

// start starts the process of a VM.
func (c *cluster) start(v *vm, first bool) error {
	v.dir = filepath.Join(c.tmp, v.name)
	if err := os.MkdirAll(v.dir, 0o700); err != nil {
		return err
	}
	path := filepath.Join(c.tmp, v.name+".yaml")
	if err := os.WriteFile(path, []byte(c.settings(v, first)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(c.tmp, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(c.program, v.role)
	cmd.Env = append([]string{"DAMASKBRIDGE_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, c.env...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	v.cmd, v.ended = cmd, make(chan struct{})
	c.rec.line("process %s started, pid %d", v.name, cmd.Process.Pid)
	go func(ended chan struct{}) {
		err := cmd.Wait()
		c.rec.line("process %s ended: %v", v.name, err)
		close(ended)
	}(v.ended)
	return nil
}

// startAll starts every process for the first time.
func (c *cluster) startAll() error {
	for _, v := range append(append([]*vm{}, c.control...), c.entry...) {
		if err := c.start(v, true); err != nil {
			return err
		}
	}
	return nil
}

// stopAll ends every process that was started and removes the temporary folder, unless
// KEEP is set.
func (c *cluster) stopAll() {
	for _, v := range append(append([]*vm{}, c.control...), c.entry...) {
		if v.cmd == nil {
			continue
		}
		_ = v.cmd.Process.Signal(syscall.SIGCONT)
		_ = v.cmd.Process.Kill()
		<-v.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.tmp)
	} else {
		fmt.Println("kept:", c.tmp)
	}
}

var httpClient = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// post sends a body to a control VM and returns the status.
func (c *cluster) post(v *vm, path string, body []byte) (int, string, error) {
	resp, err := httpClient.Post(fmt.Sprintf("http://%s:%d%s", v.ip, portOperators, path), "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), nil
}

// publish sends a configuration to the control VMs in turn until one acknowledges it.
func (c *cluster) publish(ctx context.Context, document any) error {
	body, err := json.Marshal(document)
	if err != nil {
		return err
	}
	for i := 0; ctx.Err() == nil; i++ {
		v := c.control[i%len(c.control)]
		status, text, err := c.post(v, "/-/Config.Put", body)
		c.rec.line("configuration sent to %s: %d %q %v", v.name, status, strings.TrimSpace(text), err)
		if status == http.StatusOK {
			return nil
		}
		if status == http.StatusBadRequest {
			return fmt.Errorf("the configuration was refused: %s", text)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ctx.Err()
}

// awaitReady waits until every entry VM says that it is ready.
func (c *cluster) awaitReady(ctx context.Context) error {
	for _, v := range c.entry {
		for !c.ready(v) {
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func (c *cluster) ready(v *vm) bool {
	resp, err := httpClient.Get(fmt.Sprintf("http://%s:%d/-/ready", v.ip, portReady))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
