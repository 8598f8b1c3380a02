package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"damaskbridge.example/damaskbridge/admin"
	"damaskbridge.example/damaskbridge/settings"
)

// get implements 'get', which shows effective values, the settings keys, the
// settings as a document, or one object.
func (inv *invocation) get(ctx context.Context) error {
	branch := inv.flags.String("branch", "", "`branch`, for instance guild/lagos; empty is the root")
	key := inv.flags.String("key", "", "`key`; empty shows all")
	keys := inv.flags.Bool("keys", false, "list all keys with unit, default and bounds; needs no server")
	document := inv.flags.Bool("document", false, "print all settings as a document, to edit and apply")
	if err := inv.parse(0, 2); err != nil {
		return err
	}
	if *keys {
		return inv.printKeySpecs(settings.Specs())
	}
	c, ctx, cancel, err := inv.clientWithTimeout(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	if *document {
		return inv.getDocument(ctx, c)
	}
	switch len(inv.args) {
	case 1:
		return usageErrorf("give the object's name as well: get %s NAME", inv.args[0])
	case 2:
		return inv.getObject(ctx, c)
	}
	var reply admin.EffectiveReply
	if err := c.get(ctx, "/v1/effective", url.Values{"branch": {*branch}, "key": {*key}}, &reply); err != nil {
		return err
	}
	return inv.printEffective(reply)
}

// getDocument prints the settings as a document, headed by the base version to
// apply it with.
func (inv *invocation) getDocument(ctx context.Context, c *Client) error {
	var reply admin.DocumentReply
	if err := c.get(ctx, "/v1/document", nil, &reply); err != nil {
		return err
	}
	if inv.json {
		return inv.printJSON(reply)
	}
	fmt.Fprintf(inv.Stdout, "# version %d; apply with -base %d\n%s", reply.Version, reply.Version, reply.Document)
	return nil
}

// getObject prints the object whose kind and name are the arguments.
func (inv *invocation) getObject(ctx context.Context, c *Client) error {
	var object json.RawMessage
	path := "/v1/objects/" + url.PathEscape(inv.args[0]) + "/" + url.PathEscape(inv.args[1])
	if err := c.get(ctx, path, nil, &object); err != nil {
		return err
	}
	return inv.printJSON(object)
}

// history implements 'history', which shows accepted changes.
func (inv *invocation) history(ctx context.Context) error {
	limit := inv.flags.Int("limit", 20, "`number` of changes")
	before := inv.flags.Uint64("before", 0, "newest `version` to show; 0 is the current one")
	if err := inv.parse(0, 0); err != nil {
		return err
	}
	q := url.Values{"limit": {fmt.Sprint(*limit)}, "before": {fmt.Sprint(*before)}}
	return callAndPrint(ctx, inv, request{method: http.MethodGet, path: "/v1/history", query: q}, inv.printHistory)
}

// status implements 'status', which shows control VMs and entry VMs.
func (inv *invocation) status(ctx context.Context) error {
	if err := inv.parse(0, 0); err != nil {
		return err
	}
	return callAndPrint(ctx, inv, request{method: http.MethodGet, path: "/v1/status"}, inv.printStatus)
}

// drain implements 'drain VM', which drains an entry VM.
func (inv *invocation) drain(ctx context.Context) error {
	if err := inv.parse(1, 1); err != nil {
		return err
	}
	path := "/v1/entries/" + url.PathEscape(inv.args[0]) + "/drain"
	return callAndPrint(ctx, inv, request{method: http.MethodPost, path: path}, inv.printDrain)
}

func (inv *invocation) printDrain(reply map[string]string) error {
	if inv.json {
		return inv.printJSON(reply)
	}
	fmt.Fprintf(inv.Stdout, "%s is draining: it reports not ready to the load balancer; then stop its process with SIGTERM, which ends it after its last request\n", reply["vm"])
	return nil
}

// audit implements 'audit', which queries the audit log.
func (inv *invocation) audit(ctx context.Context) error {
	q := url.Values{}
	for _, filter := range []struct{ name, help string }{
		{"request", "`id` of one request"},
		{"workspace", "`name` of one workspace"},
		{"vm", "`name` of one entry VM"},
		{"from", "earliest `time`, for instance 2026-01-31T08:00:00Z"},
		{"to", "latest `time`"},
		{"limit", "greatest `number` of records (default 100)"},
	} {
		inv.flags.Func(filter.name, filter.help, func(value string) error {
			q.Set(filter.name, value)
			return nil
		})
	}
	if err := inv.parse(0, 0); err != nil {
		return err
	}
	return callAndPrint(ctx, inv, request{method: http.MethodGet, path: "/v1/audit", query: q}, inv.printAudit)
}
