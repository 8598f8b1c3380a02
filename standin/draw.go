package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// noContext is for pauses that only the runner's end interrupts.
var noContext = context.Background()

// draw takes a model's bytes from the weight store, in order, waiting where
// the store's rate requires it.
func (e *Engine) draw(ctx context.Context, model string, bytes int64) error {
	if e.options.WeightsURL == "" {
		return nil
	}
	for bytes > 0 {
		n := min(bytes, e.options.DrawBytes)
		wait, err := e.drawOnce(ctx, model, n)
		if err != nil {
			return err
		}
		if wait == 0 {
			bytes -= n
			continue
		}
		if !e.pause(ctx, wait) {
			return context.Canceled
		}
	}
	return nil
}

// drawOnce makes one draw, or gives the time to wait before the next attempt.
func (e *Engine) drawOnce(ctx context.Context, model string, bytes int64) (time.Duration, error) {
	address := fmt.Sprintf("%s/weights/%s?bytes=%d", e.options.WeightsURL, url.PathEscape(model), bytes)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return 0, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	var receipt weightsReceipt
	if err := json.NewDecoder(res.Body).Decode(&receipt); err != nil {
		return 0, fmt.Errorf("weight store: %w", err)
	}
	switch res.StatusCode {
	case http.StatusOK:
		return 0, nil
	case http.StatusTooManyRequests:
		return time.Duration(max(receipt.RetryAfterMS, 1)) * time.Millisecond, nil
	default:
		return 0, fmt.Errorf("weight store answered %s", res.Status)
	}
}
