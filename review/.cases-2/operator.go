package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

type object = map[string]any

// hostName and tenantKey are those of the configuration.
const (
	hostName   = "desk.example"
	tenantKey  = "k3ndm2x9qv7tz41c"
	tenantName = "ikeja"
)

// route returns a route of the configuration.
func route(name, prefix, kind, service string, timeoutMS int, more object) object {
	out := object{
		"name": name, "host": hostName, "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMS, "slo_ms": 400,
		"priority": 1, "service": service, "max_attempts": 1, "public": false, "session_affinity": false, "can_resume": false,
	}
	for k, v := range more {
		out[k] = v
	}
	return out
}

// stageSpec are the properties of a service of stages, those of member-roll.
func stageSpec() object {
	return object{
		"slots": 1, "queue": 2, "batch": 8, "call_ms": 200.0, "item_ms": 21.0, "headroom_mb": 18.0, "handle_s": 4.0, "link_mbps": 10000,
	}
}

func engineSpec() object {
	return object{
		"slots": 64, "kv_capacity": 331699, "kv_token_bytes": 18432, "link_mbps": 280000.0, "moves": true, "backups": true, "stride": 4,
		"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []object{{"name": "m"}},
	}
}

func service(name string, more object) object {
	out := object{"name": name, "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false}
	for k, v := range more {
		out[k] = v
	}
	return out
}

// document returns a configuration.
func document(version int, routes, services []object) object {
	return object{
		"version": version, "routes": routes, "services": services,
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []object{{"name": tenantName, "api_keys": []string{tenantKey}, "priority": 1}},
	}
}

const pathPut = "/-/Config.Put"

// publish sends a configuration until it is acknowledged.
func (d *deployment) publish(doc object) error {
	body, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: 2 * time.Second}
	for i := range 60 {
		m := d.control[i%len(d.control)]
		resp, err := client.Post("http://"+m.addr(portControl)+pathPut, "application/json", bytes.NewReader(body))
		if err == nil {
			text, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				d.rec.printf("operator: version %v acknowledged by %s", doc["version"], m.name)
				return nil
			}
			err = fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
		}
		d.rec.printf("operator: %s: %v", m.name, err)
		time.Sleep(250 * time.Millisecond)
	}
	return errors.New("the configuration was never acknowledged")
}

// readyLimit is how long awaitReady waits.
const readyLimit = 20 * time.Second

// awaitReady waits until all entry machines say that they are ready.
func (d *deployment) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(readyLimit)
	for _, m := range d.entry {
		for {
			resp, err := client.Get("http://" + m.addr(portReady) + "/-/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	d.rec.printf("platform: all entry machines are ready")
	return nil
}
