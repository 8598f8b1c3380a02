package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// LoadReport is a runner's own report of its load. It lags.
type LoadReport struct {
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	KVUsedPercent float64 `json:"kv_used_percent"`
	// AtUnixMS is the runner's wall time of the report; 0 means no report.
	AtUnixMS int64 `json:"at_unix_ms"`
	Draining bool  `json:"draining"`
}

// Load asks a runner for its load report.
func (c *Client) Load(ctx context.Context, addr string) (LoadReport, error) {
	var r LoadReport
	if err := c.getJSON(ctx, addr, "/load", &r); err != nil {
		return LoadReport{}, err
	}
	if !r.plausible() {
		err := fmt.Errorf("/load: running %d and waiting %d are not between 0 and %d", r.Running, r.Waiting, maxLoadCount)
		return LoadReport{}, &Error{Cause: Mismatch, Address: addr, Err: err}
	}
	return r, nil
}

// maxLoadCount limits the requests of one runner in a load report. Sums of
// counts within it cannot overflow, and none is negative.
const maxLoadCount = 1 << 24

func (r *LoadReport) plausible() bool {
	return r.Running >= 0 && r.Running <= maxLoadCount && r.Waiting >= 0 && r.Waiting <= maxLoadCount && r.AtUnixMS >= 0
}

// getJSON reads a small JSON document over a kept connection.
func (c *Client) getJSON(ctx context.Context, addr, path string, v any) error {
	resp, err := c.open(ctx, call{method: http.MethodGet, addr: addr, path: path})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &Error{Cause: Status, Address: addr, Status: resp.StatusCode}
	}
	raw, err := c.readAll(ctx, addr, resp)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return &Error{Cause: Mismatch, Address: addr, Err: fmt.Errorf("%s: %w", path, err)}
	}
	return nil
}

// parseLoadHeader reads "running=2;waiting=0;at=1700000000000". Parts that
// can't be read are left at zero; a report is only a hint. One with an
// implausible count counts as no report.
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
	if !r.plausible() {
		return LoadReport{}
	}
	return r
}
