package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// LoadReport is the load that a runner reports. It lags behind the actual load.
type LoadReport struct {
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	KVUsedPercent float64 `json:"kv_used_percent"`
	// AtUnixMS is the runner's wall clock at the time of the report, in ms since
	// 1970; 0 means no report.
	AtUnixMS int64 `json:"at_unix_ms"`
	Draining bool  `json:"draining"`
}

// Load requests the load report of a runner.
func (c *Client) Load(ctx context.Context, addr string) (LoadReport, error) {
	var r LoadReport
	if err := c.getJSON(ctx, addr, "/load", &r); err != nil {
		return LoadReport{}, err
	}
	if !r.valid() {
		err := fmt.Errorf("/load: running %d and waiting %d are not between 0 and %d", r.Running, r.Waiting, maxLoadCount)
		return LoadReport{}, &Error{Cause: ResponseMismatch, Address: addr, Err: err}
	}
	return r, nil
}

// maxLoadCount is the maximum of each request count in a load report. It keeps
// sums of counts from overflowing.
const maxLoadCount = 1 << 24

// valid reports whether all numbers of the report are within their limits.
func (r *LoadReport) valid() bool {
	return r.Running >= 0 && r.Running <= maxLoadCount && r.Waiting >= 0 && r.Waiting <= maxLoadCount && r.AtUnixMS >= 0
}

// getJSON decodes a JSON document into v. It reuses idle connections.
func (c *Client) getJSON(ctx context.Context, addr, path string, v any) error {
	spec := callSpec{method: http.MethodGet, addr: addr, path: path}
	resp, err := c.open(ctx, spec)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &Error{Cause: ErrorStatus, Address: addr, Status: resp.StatusCode}
	}
	raw, err := c.readAll(ctx, spec, resp)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return &Error{Cause: ResponseMismatch, Address: addr, Err: fmt.Errorf("%s: %w", path, err)}
	}
	return nil
}

// parseLoadHeader parses a load header such as
// "running=2;waiting=0;at=1700000000000". A report is only a hint, so parts that
// cannot be parsed are left at zero, and an invalid report is treated as none.
func parseLoadHeader(s string) LoadReport {
	var r LoadReport
	for part := range strings.SplitSeq(s, ";") {
		name, value, ok := strings.Cut(part, "=")
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			continue
		}
		switch name {
		case "running":
			r.Running = int(n)
		case "waiting":
			r.Waiting = int(n)
		case "at":
			r.AtUnixMS = n
		}
	}
	if !r.valid() {
		return LoadReport{}
	}
	return r
}
