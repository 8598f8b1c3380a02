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

func (r *run) get(ctx context.Context) error {
	branch := r.flags.String("branch", "", "`branch`, for instance guild/lagos; empty is the root")
	key := r.flags.String("key", "", "`key`; empty shows all")
	keys := r.flags.Bool("keys", false, "list all keys with unit, default and bounds; needs no server")
	document := r.flags.Bool("document", false, "print all settings as a document, to edit and apply")
	if err := r.parse(0, 2); err != nil {
		return err
	}
	if *keys {
		return r.printKeys(settings.Specs())
	}
	c, ctx, cancel, err := r.client(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	if *document {
		return r.getDocument(ctx, c)
	}
	switch len(r.args) {
	case 1:
		return usage("give the object's name as well: get %s NAME", r.args[0])
	case 2:
		return r.getObject(ctx, c)
	}
	var reply admin.EffectiveReply
	if err := c.get(ctx, "/v1/effective", url.Values{"branch": {*branch}, "key": {*key}}, &reply); err != nil {
		return err
	}
	return r.printEffective(reply)
}

// getDocument prints the settings with the base to apply the document on.
func (r *run) getDocument(ctx context.Context, c *Client) error {
	var reply admin.DocumentReply
	if err := c.get(ctx, "/v1/document", nil, &reply); err != nil {
		return err
	}
	if r.json {
		return r.printJSON(reply)
	}
	fmt.Fprintf(r.Stdout, "# version %d; apply with -base %d\n%s", reply.Version, reply.Version, reply.Document)
	return nil
}

func (r *run) getObject(ctx context.Context, c *Client) error {
	var object json.RawMessage
	path := "/v1/objects/" + url.PathEscape(r.args[0]) + "/" + url.PathEscape(r.args[1])
	if err := c.get(ctx, path, nil, &object); err != nil {
		return err
	}
	return r.printJSON(object)
}

func (r *run) history(ctx context.Context) error {
	limit := r.flags.Int("limit", 20, "`number` of changes")
	before := r.flags.Uint64("before", 0, "newest `version` to show; 0 is the current one")
	if err := r.parse(0, 0); err != nil {
		return err
	}
	q := url.Values{"limit": {fmt.Sprint(*limit)}, "before": {fmt.Sprint(*before)}}
	return call(ctx, r, request{method: http.MethodGet, path: "/v1/history", query: q}, r.printHistory)
}

func (r *run) status(ctx context.Context) error {
	if err := r.parse(0, 0); err != nil {
		return err
	}
	return call(ctx, r, request{method: http.MethodGet, path: "/v1/status"}, r.printStatus)
}

func (r *run) drain(ctx context.Context) error {
	if err := r.parse(1, 1); err != nil {
		return err
	}
	path := "/v1/entries/" + url.PathEscape(r.args[0]) + "/drain"
	return call(ctx, r, request{method: http.MethodPost, path: path}, r.printDrain)
}

func (r *run) printDrain(reply map[string]string) error {
	if r.json {
		return r.printJSON(reply)
	}
	fmt.Fprintf(r.Stdout, "%s is draining: it reports not ready to the load balancer; then stop its process with SIGTERM, which ends it after its last request\n", reply["vm"])
	return nil
}

func (r *run) audit(ctx context.Context) error {
	q := url.Values{}
	for _, p := range []struct{ name, help string }{
		{"request", "`id` of one request"},
		{"workspace", "`name` of one workspace"},
		{"vm", "`name` of one entry VM"},
		{"from", "earliest `time`, for instance 2026-01-31T08:00:00Z"},
		{"to", "latest `time`"},
		{"limit", "greatest `number` of records (default 100)"},
	} {
		r.flags.Func(p.name, p.help, func(value string) error {
			q.Set(p.name, value)
			return nil
		})
	}
	if err := r.parse(0, 0); err != nil {
		return err
	}
	return call(ctx, r, request{method: http.MethodGet, path: "/v1/audit", query: q}, r.printAudit)
}
