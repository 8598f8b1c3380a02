package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

func init() { cases["half-restored"] = playHalfRestored }

// playHalfRestored has one control VM killed, which misses some fifty changes and
// starts again. In trouble, it is killed a second time while it takes over what it
// has missed. Later it is stopped with SIGTERM and starts once more; that is done
// with one VM after the other until one does not start any more. At the end two
// other control VMs lose their disks, as many as may be lost at the same time. Rules
// Fault and CONFIG: each program must start, and the acknowledged configuration must
// be read back.
func playHalfRestored(s *system, trouble bool) (broken bool, err error) {
	const (
		// roundsUntil bounds the time for the rounds; without trouble there are
		// calmRounds.
		roundsUntil = 65 * time.Second
		calmRounds  = 3
		lossAfter   = 6 * time.Second
		downFor     = 1200 * time.Millisecond
		readBackFor = 25 * time.Second
	)
	if err := s.startServing(2, plainDocument(7)); err != nil {
		return false, err
	}
	// Every control VM becomes a voter.
	time.Sleep(8 * time.Second)
	p := &publisher{s: s, version: 7}
	var dead *vm
	for round := 0; dead == nil; round++ {
		if !trouble && round == calmRounds || time.Since(s.rec.began) > roundsUntil {
			break
		}
		target := s.control[round%controlVMs]
		starts, err := p.restartTwice(target, trouble)
		if err != nil {
			return false, err
		}
		if !starts {
			dead = target
		}
	}
	time.Sleep(lossAfter)
	if err := p.publish(1, s.control); err != nil {
		return false, err
	}
	var lost []*vm
	for _, v := range s.control {
		if v != dead && len(lost) < 2 {
			lost = append(lost, v)
		}
	}
	for _, v := range lost {
		s.rec.say("platform: %s loses power and its disk", v.name)
		v.kill()
		if err := v.loseDisk(); err != nil {
			return false, err
		}
	}
	time.Sleep(downFor)
	for _, v := range lost {
		if err := v.start(); err != nil {
			return false, err
		}
		s.rec.say("platform: %s starts again with an empty disk", v.name)
	}
	unread := s.readBack(s.control, p.version, readBackFor)
	return dead != nil || unread, nil
}

// publisher publishes one version of the configuration after the other.
type publisher struct {
	s       *system
	version int
}

// publish has the targets acknowledge a number of changes.
func (p *publisher) publish(count int, targets []*vm) error {
	const changeEvery = 20 * time.Millisecond
	for range count {
		p.version++
		if err := p.s.put(plainDocument(p.version), targets, 5*time.Second); err != nil {
			return err
		}
		time.Sleep(changeEvery)
	}
	return nil
}

// restartTwice has a control VM miss changes and catch up, in trouble with a second
// kill meanwhile, and stops it later with SIGTERM. It reports whether the VM starts
// each time.
func (p *publisher) restartTwice(target *vm, trouble bool) (starts bool, err error) {
	const (
		changes = 52
		// catchUp is catch_up_s of the settings.
		catchUp   = 4 * time.Second
		killedFor = 500 * time.Millisecond
		calm      = time.Second
		tries     = 3
	)
	rec := p.s.rec
	var others []*vm
	for _, v := range p.s.control {
		if v != target {
			others = append(others, v)
		}
	}
	rec.say("platform: %s is killed", target.name)
	target.kill()
	if err := p.publish(changes, others); err != nil {
		return false, err
	}
	before := target.states()
	if err := target.start(); err != nil {
		return false, err
	}
	rec.say("platform: %s starts again", target.name)
	catchingUp := target.awaitState(before, catchUp)
	if trouble && catchingUp {
		target.kill()
		rec.say("platform: %s is killed again while it catches up", target.name)
		time.Sleep(killedFor)
		if err := target.start(); err != nil {
			return false, err
		}
		rec.say("platform: %s starts again", target.name)
	}
	time.Sleep(calm)
	if err := p.publish(2, others); err != nil {
		return false, err
	}
	target.stop()
	rec.say("platform: %s was stopped with SIGTERM", target.name)
	for range tries {
		if err := target.start(); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
		if !target.hasEnded() {
			rec.say("platform: %s runs", target.name)
			return true, nil
		}
		rec.say("BROKEN: %s has ended by itself at its start; its last line: %s", target.name, target.lastLine())
	}
	return false, nil
}

// states returns the names of the files with a control VM's whole state.
func (v *vm) states() map[string]bool {
	names := map[string]bool{}
	list, err := os.ReadDir(filepath.Join(v.dataFolder, "group-1"))
	if err != nil {
		return names
	}
	for _, e := range list {
		if strings.HasSuffix(e.Name(), ".dat") {
			names[e.Name()] = true
		}
	}
	return names
}

// awaitState waits until the VM has stored its whole state anew.
func (v *vm) awaitState(before map[string]bool, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		for name := range v.states() {
			if !before[name] {
				return true
			}
		}
	}
	return false
}

// hasEnded reports whether the VM's process has ended.
func (v *vm) hasEnded() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.ended:
		return true
	default:
		return false
	}
}

// lastLine returns the end of the VM's log without the names of folders.
func (v *vm) lastLine() string {
	b, err := os.ReadFile(filepath.Join(v.s.folder, v.name+".log"))
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	return fmt.Sprint(strings.ReplaceAll(lines[len(lines)-1], v.s.folder+"/", ""))
}
