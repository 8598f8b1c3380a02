package upstream

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
)

// StageRequest is the input of an encode, retrieve or rerank stage.
type StageRequest struct {
	// Input is the input of the caller's request.
	Input string `json:"input"`
	// Prior is the output of the previous stage.
	Prior string `json:"prior"`
}

// StageResult is the output of a stage.
type StageResult struct {
	Output    string  `json:"output"`
	CostUnits float64 `json:"cost_units"`
	SHA256    string  `json:"sha256"`
	// Load is the runner's load report, if the response has one.
	Load LoadReport `json:"-"`
	// WireBytes is the size of the request and response bodies.
	WireBytes int `json:"-"`
}

// Stage makes one attempt at a stage of the given kind ("encode", "retrieve",
// "rerank").
func (c *Client) Stage(ctx context.Context, addr string, a Attempt, kind, priority string, in StageRequest) (StageResult, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return StageResult{}, &Error{Cause: NotSent, Address: addr, Err: err}
	}
	h := jsonHeader()
	h.Set(HeaderPriority, priority)
	watch := c.newSilenceWatch(addr, a.OnSilent)
	defer watch.stop()
	spec := callSpec{method: http.MethodPost, addr: addr, path: "/v1/stages/" + kind, header: h, body: body, attempt: a.String(), onWritten: a.OnWritten, newConnection: a.Number > 1, watch: watch}
	resp, err := c.open(ctx, spec)
	if err != nil {
		return StageResult{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return StageResult{}, &Error{Cause: ErrorStatus, Address: addr, Status: resp.StatusCode}
	}
	raw, err := c.readAll(ctx, spec, resp)
	if err != nil {
		return StageResult{}, err
	}
	var out StageResult
	if err := json.Unmarshal(raw, &out); err != nil {
		return StageResult{}, &Error{Cause: ResponseMismatch, Address: addr, Err: fmt.Errorf("stage response: %w", err)}
	}
	sum := sha256.Sum256([]byte(out.Output))
	if out.SHA256 != hex.EncodeToString(sum[:]) {
		return StageResult{}, &Error{Cause: ResponseMismatch, Address: addr, Err: errors.New("stage output does not match its sha256")}
	}
	out.Load = parseLoadHeader(resp.Header.Get(HeaderLoad))
	out.WireBytes = len(body) + len(raw)
	return out, nil
}

func jsonHeader() http.Header {
	return http.Header{"Content-Type": []string{"application/json"}}
}
