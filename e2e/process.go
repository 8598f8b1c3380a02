package e2e

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// process is one program that this package started.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	err  error
}

// startProcess starts a program whose output goes to a log file.
func startProcess(name, binary, logDir string, args ...string) (*process, error) {
	path := filepath.Join(logDir, name+".log")
	log, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("e2e: %w", err)
	}
	cmd := exec.Command(binary, args...)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("e2e: start %s: %w", name, err)
	}
	p := &process{name: name, cmd: cmd, log: log, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	return p, nil
}

// signal sends a signal to this process only.
func (p *process) signal(s syscall.Signal) error {
	err := p.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// stop drains the process and waits for its end.
func (p *process) stop(limit time.Duration) error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.await(limit)
}

// kill ends the process without a drain.
func (p *process) kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// await waits for an orderly end.
func (p *process) await(limit time.Duration) error {
	select {
	case <-p.done:
		if p.err != nil {
			return fmt.Errorf("e2e: %s ended: %w", p.name, p.err)
		}
		return nil
	case <-time.After(limit):
		return fmt.Errorf("e2e: %s has not ended within %v", p.name, limit)
	}
}
