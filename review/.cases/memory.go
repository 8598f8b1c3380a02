package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// watchMemory has the platform kill each of the VMs that needs more than its
// memory, and start it again. The returned function ends that and returns the
// highest use, in bytes, and the number of kills of each VM.
func (s *system) watchMemory(vms []*vm) func() (peak map[*vm]int64, kills map[*vm]int) {
	const (
		interval = 5 * time.Millisecond
		// restartDelay is the time after which the platform starts a process
		// again that has ended.
		restartDelay = 300 * time.Millisecond
	)
	stop, done := make(chan struct{}), make(chan struct{})
	peak, kills := map[*vm]int64{}, map[*vm]int{}
	go func() {
		defer close(done)
		startAt := map[*vm]time.Time{}
		for {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			for _, v := range vms {
				if at, down := startAt[v]; down {
					if time.Now().After(at) {
						delete(startAt, v)
						if err := v.start(); err != nil {
							s.rec.say("platform: %v", err)
						}
					}
					continue
				}
				used := v.memory()
				peak[v] = max(peak[v], used)
				if used > int64(s.entryMemoryMB)<<20 {
					v.kill()
					kills[v]++
					startAt[v] = time.Now().Add(restartDelay)
					s.rec.say("platform: %s needs %d MB, more than its %d MB, and is killed", v.name, used>>20, s.entryMemoryMB)
				}
			}
		}
	}()
	return func() (map[*vm]int64, map[*vm]int) {
		close(stop)
		<-done
		return peak, kills
	}
}

// memory returns the resident memory of the VM's process in bytes, 0 if it cannot
// be read.
func (v *vm) memory() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.child == nil {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", v.child.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
