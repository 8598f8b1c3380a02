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

// document is a configuration as the operator sends it.
type document struct {
	Version  int              `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []map[string]any `json:"tenants"`
}

const (
	apiKey     = "9dnn2ctnfzs989anu6ws"
	tenantName = "bozi300"
)

func newDocument(version int) *document {
	return &document{
		Version: version,
		Limits:  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		Tenants: []map[string]any{{"name": tenantName, "api_keys": []string{apiKey}, "priority": 1}},
	}
}

// operatorClient waits a second for an answer, as an operator does.
var operatorClient = &http.Client{Timeout: time.Second}

// put sends a configuration to the control VMs in turn until one of them
// acknowledges it.
func (s *system) put(d *document, targets []*vm, limit time.Duration) error {
	body, err := json.Marshal(d)
	if err != nil {
		return err
	}
	end := time.Now().Add(limit)
	last := errors.New("no control VM was asked")
	for n := 0; time.Now().Before(end); n++ {
		v := targets[n%len(targets)]
		resp, err := operatorClient.Post("http://"+s.addr(v.host, s.ports.operators)+"/-/Config.Put", "application/json", bytes.NewReader(body))
		if err != nil {
			last = err
			time.Sleep(50 * time.Millisecond)
			continue
		}
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			s.rec.say("operator: version %d is acknowledged by %s", d.Version, v.name)
			return nil
		}
		last = fmt.Errorf("%s answers %d %s", v.name, resp.StatusCode, bytes.TrimSpace(text))
		if resp.StatusCode/100 == 4 {
			return last
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("version %d was not acknowledged within %v: %w", d.Version, limit, last)
}

// get reads the configuration's version at one control VM; 0 if that gives none.
func (s *system) get(v *vm) (version int, what string) {
	resp, err := operatorClient.Get("http://" + s.addr(v.host, s.ports.operators) + "/-/Config.Get")
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	var d document
	if resp.StatusCode != http.StatusOK || json.Unmarshal(body, &d) != nil {
		return 0, fmt.Sprintf("%d %s", resp.StatusCode, bytes.TrimSpace(body))
	}
	return d.Version, "200"
}
