package main

import (
	"fmt"
	"time"
)

func init() { cases["replaced-core"] = playReplacedCore }

// playReplacedCore replaces a control VM as planned: the successor starts first,
// has more than catch_up_s, and only then the old one gets SIGTERM and is
// removed. In trouble, two other control VMs lose their disks a second later, as
// many as may be lost at the same time, and come back empty. Rules LOST and
// CONFIG: the acknowledged configuration must be read back.
func playReplacedCore(s *system, trouble bool) (broken bool, err error) {
	const (
		// catchUp is catch_up_s of the settings with a margin.
		catchUp     = 4*time.Second + 2*time.Second
		lossAfter   = time.Second
		downFor     = 1200 * time.Millisecond
		readBackFor = 50 * time.Second
	)
	if err := s.startServing(2, adviceDocument(7)); err != nil {
		return false, err
	}
	// Every control VM becomes a voter.
	time.Sleep(8 * time.Second)
	if err := s.put(adviceDocument(9), s.control, 5*time.Second); err != nil {
		return false, err
	}
	old := s.control[4]
	lost := s.control[2:4]
	successor := s.newVM("control", 6, false)
	s.rec.say("platform: %s starts with an empty disk; it is to replace %s", successor.name, old.name)
	if err := successor.start(); err != nil {
		return false, err
	}
	time.Sleep(catchUp)
	s.rec.say("platform: SIGTERM to %s, which is removed", old.name)
	old.stop()
	s.rec.say("platform: %s has ended", old.name)
	remaining := []*vm{s.control[0], s.control[1], s.control[2], s.control[3], successor}
	if err := s.put(adviceDocument(12), remaining, 5*time.Second); err != nil {
		return false, err
	}
	time.Sleep(lossAfter)
	if trouble {
		for _, v := range lost {
			s.rec.say("platform: %s loses power and its disk", v.name)
			v.kill()
			if err := v.loseDisk(); err != nil {
				return false, err
			}
		}
		time.Sleep(downFor)
		for _, v := range lost {
			s.rec.say("platform: %s starts again with an empty disk", v.name)
			if err := v.start(); err != nil {
				return false, err
			}
		}
	}
	return s.readBack(remaining, 12, readBackFor), nil
}

// readBack reads the configuration at the control VMs in turn until one gives the
// acknowledged version. It reports whether none did within the limit, or one gave
// an older version.
func (s *system) readBack(from []*vm, acknowledged int, limit time.Duration) (broken bool) {
	last := ""
	end := time.Now().Add(limit)
	for n := 0; time.Now().Before(end); n++ {
		v := from[n%len(from)]
		version, what := s.get(v)
		if version != 0 {
			s.rec.say("operator: %s gives version %d, acknowledged was %d", v.name, version, acknowledged)
			return version < acknowledged
		}
		if said := fmt.Sprintf("%s: %s", v.name, what); said != last && n < 20 {
			last = said
			s.rec.say("operator: %s", said)
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.rec.say("operator: no control VM gave the configuration within %v", limit)
	return true
}
