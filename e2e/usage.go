package e2e

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
)

// Usage is what one process has used so far.
type Usage struct {
	VM   string
	Role string
	// CPUTicks is the processor time in hundredths of a second.
	CPUTicks int64
	// RSSBytes is the resident memory.
	RSSBytes int64
	// CallBytes are the framed bytes of calls between the system's processes,
	// both directions, without the overhead of QUIC and UDP, by method.
	CallBytes map[string]int64
}

// Usages reads the usage of every VM's process.
func (s *System) Usages(ctx context.Context) ([]Usage, error) {
	var all []Usage
	for _, v := range s.all() {
		u, err := usageOf(ctx, v)
		if err != nil {
			return nil, err
		}
		all = append(all, u)
	}
	return all, nil
}

func usageOf(ctx context.Context, v *vm) (Usage, error) {
	u := Usage{VM: v.name, Role: strings.TrimPrefix(v.program, "damask-")}
	pid := v.process.cmd.Process.Pid
	var err error
	if u.CPUTicks, err = cpuTicks(pid); err != nil {
		return u, err
	}
	if u.RSSBytes, err = residentBytes(pid); err != nil {
		return u, err
	}
	addr := v.listen
	if u.Role == "control" {
		addr = v.admin
	}
	u.CallBytes, err = callBytes(ctx, "http://"+addr+"/metrics")
	return u, err
}

// cpuTicks reads user and system time from /proc/PID/stat.
func cpuTicks(pid int) (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("e2e: %w", err)
	}
	// The second field is the program's name in parentheses and may hold
	// spaces, so the fields are counted from its end.
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return 0, fmt.Errorf("e2e: /proc/%d/stat has %d fields", pid, len(fields))
	}
	user, err := strconv.ParseInt(fields[userField], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("e2e: user time: %w", err)
	}
	system, err := strconv.ParseInt(fields[systemField], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("e2e: system time: %w", err)
	}
	return user + system, nil
}

// residentBytes reads the resident memory from /proc/PID/statm.
func residentBytes(pid int) (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, fmt.Errorf("e2e: %w", err)
	}
	fields := strings.Fields(string(raw))
	const residentField = 1
	if len(fields) <= residentField {
		return 0, fmt.Errorf("e2e: /proc/%d/statm has %d fields", pid, len(fields))
	}
	pages, err := strconv.ParseInt(fields[residentField], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("e2e: resident memory: %w", err)
	}
	return pages * int64(os.Getpagesize()), nil
}

// callBytes reads the bytes of calls from a process's metrics.
func callBytes(ctx context.Context, url string) (map[string]int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("e2e: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("e2e: metrics: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	out := make(map[string]int64)
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		rest, ok := strings.CutPrefix(lines.Text(), "damask_transport_bytes_total{")
		if !ok {
			continue
		}
		labels, value, _ := strings.Cut(rest, "} ")
		_, method, _ := strings.Cut(labels, `method="`)
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return nil, fmt.Errorf("e2e: metrics: %w", err)
		}
		out[strings.TrimSuffix(method, `"`)] += int64(n)
	}
	return out, lines.Err()
}
