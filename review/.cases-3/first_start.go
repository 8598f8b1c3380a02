package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"
)

func init() { cases["first-start"] = runFirstStart }

const (
	// firstKill is when the control VM is killed after the first start, downTime how
	// long it is away.
	firstKill = 200 * time.Millisecond
	downTime  = time.Second
	// firstStartLength is how long the operator goes on sending the first configuration.
	firstStartLength = 60 * time.Second
)

// runFirstStart starts a deployment for the first time. The control VM that is the first
// seed is killed soon after its start and comes back with its disk. The operator then
// sends the first configuration until it is acknowledged, and reads it back.
func runFirstStart(p *play) (verdict, error) {
	kill := firstKill
	if ms, err := strconv.Atoi(os.Getenv("KILL_MS")); err == nil {
		kill = time.Duration(ms) * time.Millisecond
	}
	c, err := newCluster(p.rec, 5, 1, []string{crashZone})
	if err != nil {
		return cannotRun, err
	}
	defer c.stopAll()
	list := &platform{}
	list.set(nil)
	list.listen(c.platform)
	if err := c.startAll(); err != nil {
		return cannotRun, err
	}
	if p.trouble {
		time.Sleep(kill)
		first := c.control[0]
		p.rec.say("%s is killed %v after its start", first.name, kill)
		_ = first.cmd.Process.Signal(syscall.SIGKILL)
		<-first.ended
		time.Sleep(downTime)
		// bootstrap is true only when the whole system starts for the first time. FIRST=1
		// shows the contrast.
		if err := c.start(first, os.Getenv("FIRST") == "1"); err != nil {
			return cannotRun, err
		}
	}
	ctx, cancel := context.WithTimeout(p.ctx, firstStartLength)
	defer cancel()
	sent := time.Now()
	crash := &crashCase{}
	if err := c.publish(ctx, crash.document()); err != nil {
		p.rec.say("no control VM acknowledged the configuration within %v: %v", firstStartLength, err)
	} else {
		p.rec.say("the configuration was acknowledged after %v", time.Since(sent).Round(time.Millisecond))
	}
	for _, v := range c.control {
		select {
		case <-v.ended:
			p.rec.say("%s has ended by itself", v.name)
		default:
		}
	}
	// The operator reads the configuration for longer than contact_ms.
	for end := time.Now().Add(2 * contact); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, v := range c.control {
			resp, err := httpClient.Get(fmt.Sprintf("http://%s:%d/-/Config.Get", v.ip, portOperators))
			if err != nil {
				p.rec.line("read at %s: %v", v.name, err)
				continue
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			p.rec.line("read at %s: %d", v.name, resp.StatusCode)
			if resp.StatusCode == http.StatusOK {
				p.rec.say("the configuration can be read at %s", v.name)
				return held, nil
			}
		}
	}
	p.rec.say("the configuration can be read at no control VM")
	return broken, nil
}
