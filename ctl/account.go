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

// Get reads one resource of the operators' API and decodes it into out.
func (c *Client) Get(ctx context.Context, path string, q url.Values, out any) error {
	return c.get(ctx, path, q, out)
}

// account implements 'account REQUEST', which shows the audited history of one
// request.
func (inv *invocation) account(ctx context.Context) error {
	if err := inv.parse(1, 1); err != nil {
		return err
	}
	path := "/v1/audit/requests/" + url.PathEscape(inv.args[0])
	return callAndPrint(ctx, inv, request{method: http.MethodGet, path: path}, inv.printAccount)
}

func (inv *invocation) printAccount(reply admin.RequestAuditReply) error {
	if inv.json {
		return inv.printJSON(reply)
	}
	s := &reply.Summary
	fmt.Fprintf(inv.Stdout, "request %s: %s, outcome %s, execution %s\n", s.Request, s.Verdict, s.Outcome, s.Execution)
	if s.Termination != "" {
		fmt.Fprintf(inv.Stdout, "  entry VM: %s\n", s.Termination)
	}
	if b := s.Begin; b != nil {
		fmt.Fprintf(inv.Stdout, "  workspace %s, target %s, deadline %d ms, settings version %d\n", b.Workspace, b.Target, b.DeadlineMS, b.SettingsVersion)
	}
	for _, a := range s.Attempts {
		fmt.Fprintf(inv.Stdout, "  stage %s attempt %d at %s: %s %s\n", a.Stage, a.Attempt, a.Upstream, a.Outcome, a.Detail)
	}
	for _, text := range s.Contradictions {
		fmt.Fprintf(inv.Stdout, "  contradiction: %s\n", text)
	}
	if !reply.Complete {
		fmt.Fprintf(inv.Stdout, "  control VMs %v did not answer; records may be missing\n", reply.Missing)
	}
	return nil
}

// unaccounted lists the requests of ended sessions for which the audit log has
// no end record or no record at all.
func (inv *invocation) unaccounted(ctx context.Context) error {
	if err := inv.parse(0, 0); err != nil {
		return err
	}
	return callAndPrint(ctx, inv, request{method: http.MethodGet, path: "/v1/audit/unaccounted"}, inv.printUnaccounted)
}

func (inv *invocation) printUnaccounted(reply admin.UnaccountedReply) error {
	if inv.json {
		return inv.printJSON(reply)
	}
	for _, s := range reply.Sessions {
		fmt.Fprintf(inv.Stdout, "session %s: %s\n", s.Session, s.Termination)
		for _, id := range s.WithoutEnd {
			fmt.Fprintf(inv.Stdout, "  %s: begun, end unknown\n", id)
		}
		for _, n := range s.WithoutRecord {
			fmt.Fprintf(inv.Stdout, "  numbers %d to %d: reserved, no record\n", n.Low, n.High)
		}
	}
	if len(reply.Sessions) == 0 {
		fmt.Fprintln(inv.Stdout, "every request of every ended session has an end")
	}
	if !reply.Complete {
		fmt.Fprintf(inv.Stdout, "control VMs %v did not answer; records may be missing\n", reply.Missing)
	}
	return nil
}

// verify checks the hash chain of the audit log on every control VM.
func (inv *invocation) verify(ctx context.Context) error {
	if err := inv.parse(0, 0); err != nil {
		return err
	}
	client, ctx, cancel, err := inv.clientWithTimeout(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	outputs := make([]verifyOutput, 0, len(client.Addrs))
	for _, addr := range client.Addrs {
		single := &Client{Addrs: []string{addr}, Token: client.Token, HTTP: client.HTTP}
		var report audit.Report
		if err := single.Get(ctx, "/v1/audit/verify", nil, &report); err != nil {
			return fmt.Errorf("%s: %w", addr, err)
		}
		output := verifyOutput{Control: addr, Segments: report.Segments, Records: report.Records, Head: hex.EncodeToString(report.Head[:])}
		outputs = append(outputs, output)
		if !inv.json {
			fmt.Fprintf(inv.Stdout, "%s: the chain is unbroken, %d segments, %d records, head %s\n", addr, output.Segments, output.Records, output.Head)
		}
	}
	if inv.json {
		return inv.printJSON(outputs)
	}
	return nil
}

// verifyOutput is the JSON output of verify for one control VM.
type verifyOutput struct {
	Control  string `json:"control"`
	Segments int    `json:"segments"`
	Records  uint64 `json:"records"`
	Head     string `json:"head"`
}
