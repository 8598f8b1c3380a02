package e2e

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"damaskbridge.example/damaskbridge/cluster"
	"damaskbridge.example/damaskbridge/ctl"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/keys"
	"damaskbridge.example/damaskbridge/transport"
)

// writeSettings issues the certificates and writes each VM's settings file.
func (s *System) writeSettings(ca string) error {
	for i, v := range s.controls {
		if err := s.writeControl(ca, i, v); err != nil {
			return err
		}
	}
	for _, v := range s.entries {
		if err := s.writeEntry(ca, v); err != nil {
			return err
		}
	}
	return nil
}

// issue makes a VM's certificate for the host of its address.
func issue(ca string, v *vm, role string) (string, error) {
	host, _, _ := strings.Cut(v.listen, ":")
	return keys.Issue(ca, ids.VMID(v.name), role, []string{host})
}

func (s *System) writeControl(ca string, i int, v *vm) error {
	folder, err := issue(ca, v, transport.RoleControl)
	if err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "vm: {name: %s, region: %s, data_centre: %s-a}\n", v.name, v.region, v.region)
	fmt.Fprintf(&b, "listen: %s\nadmin: %s\nkeys: %s\ndata: %s\n", v.listen, v.admin, folder, filepath.Join(v.data, "data"))
	b.WriteString("voters:\n")
	for _, p := range s.controls {
		fmt.Fprintf(&b, "  - {vm: %s, region: %s, address: %s}\n", p.name, p.region, p.address)
	}
	if len(s.controls) > 1 {
		fmt.Fprintf(&b, "audit: {copy_to: %s}\n", s.controls[(i+1)%len(s.controls)].address)
	}
	fmt.Fprintf(&b, "operator_tokens: [%s]\n", keys.TokenDigest(cluster.OperatorToken))
	return os.WriteFile(v.file, []byte(b.String()), 0o600)
}

func (s *System) writeEntry(ca string, v *vm) error {
	folder, err := issue(ca, v, transport.RoleEntry)
	if err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "vm: {name: %s, region: %s, data_centre: %s-a}\n", v.name, v.region, v.region)
	fmt.Fprintf(&b, "listen: %s\nkeys: %s\nmembers_url: http://%s/members\ncontrol:\n", v.listen, folder, s.admin)
	for _, near := range []bool{true, false} {
		for _, p := range s.controls {
			if (p.region == v.region) == near {
				fmt.Fprintf(&b, "  - %s\n", p.address)
			}
		}
	}
	return os.WriteFile(v.file, []byte(b.String()), 0o600)
}

// apply applies the deployment's document with damaskctl, as an operator would.
// It tries again while the control VMs elect a leader.
func (s *System) apply(ctx context.Context) error {
	file := filepath.Join(s.opts.Dir, "settings.yaml")
	if err := os.WriteFile(file, []byte(s.opts.Deployment.SettingsDocument()), 0o600); err != nil {
		return fmt.Errorf("e2e: %w", err)
	}
	for {
		out, err := s.Ctl(ctx, "apply", "-f", file, "-id", "first-document")
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("e2e: damaskctl apply: %w: %s", err, out)
		case <-time.After(pollInterval):
		}
	}
}

// Ctl runs damaskctl with the system's control addresses and operator token.
func (s *System) Ctl(ctx context.Context, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, filepath.Join(s.opts.Binaries, "damaskctl"), args...)
	cmd.Env = append(os.Environ(), "DAMASK_CONTROL="+strings.Join(s.AdminURLs(), ","), "DAMASK_TOKEN="+cluster.OperatorToken)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// Operator returns a client of the operators' API of all control VMs.
func (s *System) Operator() *ctl.Client {
	return &ctl.Client{Addrs: s.AdminURLs(), Token: cluster.OperatorToken, HTTP: http.DefaultClient}
}
