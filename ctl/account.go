package ctl

import (
	"context"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/url"

	"damaskbridge.example/damaskbridge/admin"
	"damaskbridge.example/damaskbridge/audit"
)

// Get reads one resource of the operators' API into out.
func (c *Client) Get(ctx context.Context, path string, q url.Values, out any) error {
	return c.get(ctx, path, q, out)
}

// account accounts for one request: account REQUEST.
func (r *run) account(ctx context.Context) error {
	if err := r.parse(1, 1); err != nil {
		return err
	}
	path := "/v1/audit/requests/" + url.PathEscape(r.args[0])
	return call(ctx, r, request{method: http.MethodGet, path: path}, r.printAccount)
}

func (r *run) printAccount(reply admin.RequestAccount) error {
	if r.json {
		return r.printJSON(reply)
	}
	s := &reply.Summary
	fmt.Fprintf(r.Stdout, "request %s: %s, outcome %s, execution %s\n", s.Request, s.Verdict, s.Outcome, s.Execution)
	if s.Termination != "" {
		fmt.Fprintf(r.Stdout, "  entry VM: %s\n", s.Termination)
	}
	if b := s.Begin; b != nil {
		fmt.Fprintf(r.Stdout, "  workspace %s, target %s, deadline %d ms, settings version %d\n", b.Workspace, b.Target, b.DeadlineMS, b.SettingsVersion)
	}
	for _, a := range s.Attempts {
		fmt.Fprintf(r.Stdout, "  stage %s attempt %d at %s: %s %s\n", a.Stage, a.Attempt, a.Upstream, a.Outcome, a.Detail)
	}
	for _, text := range s.Contradictions {
		fmt.Fprintf(r.Stdout, "  contradiction: %s\n", text)
	}
	if !reply.Complete {
		fmt.Fprintf(r.Stdout, "  control VMs %v did not answer; records may be missing\n", reply.Missing)
	}
	return nil
}

// unaccounted lists what ended sessions leave open.
func (r *run) unaccounted(ctx context.Context) error {
	if err := r.parse(0, 0); err != nil {
		return err
	}
	return call(ctx, r, request{method: http.MethodGet, path: "/v1/audit/unaccounted"}, r.printUnaccounted)
}

func (r *run) printUnaccounted(reply admin.UnaccountedReply) error {
	if r.json {
		return r.printJSON(reply)
	}
	for _, s := range reply.Sessions {
		fmt.Fprintf(r.Stdout, "session %s: %s\n", s.Session, s.Termination)
		for _, id := range s.WithoutEnd {
			fmt.Fprintf(r.Stdout, "  %s: begun, end unknown\n", id)
		}
		for _, n := range s.WithoutRecord {
			fmt.Fprintf(r.Stdout, "  numbers %d to %d: reserved, no record\n", n.Low, n.High)
		}
	}
	if len(reply.Sessions) == 0 {
		fmt.Fprintln(r.Stdout, "every request of every ended session has an end")
	}
	if !reply.Complete {
		fmt.Fprintf(r.Stdout, "control VMs %v did not answer; records may be missing\n", reply.Missing)
	}
	return nil
}

// verify checks the hash chain of each control VM's audit log.
func (r *run) verify(ctx context.Context) error {
	if err := r.parse(0, 0); err != nil {
		return err
	}
	all, ctx, cancel, err := r.client(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	replies := make([]verifyReply, 0, len(all.Addrs))
	for _, addr := range all.Addrs {
		one := &Client{Addrs: []string{addr}, Token: all.Token, HTTP: all.HTTP}
		var report audit.Report
		if err := one.Get(ctx, "/v1/audit/verify", nil, &report); err != nil {
			return fmt.Errorf("%s: %w", addr, err)
		}
		reply := verifyReply{Control: addr, Segments: report.Segments, Records: report.Records, Head: hex.EncodeToString(report.Head[:])}
		replies = append(replies, reply)
		if !r.json {
			fmt.Fprintf(r.Stdout, "%s: the chain is unbroken, %d segments, %d records, head %s\n", addr, reply.Segments, reply.Records, reply.Head)
		}
	}
	if r.json {
		return r.printJSON(replies)
	}
	return nil
}

// verifyReply is the JSON output of verify for one control VM.
type verifyReply struct {
	Control  string `json:"control"`
	Segments int    `json:"segments"`
	Records  uint64 `json:"records"`
	Head     string `json:"head"`
}
