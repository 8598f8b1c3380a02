package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"damaskbridge.example/damaskbridge/standin"
)

// Observer tells from the upstreams' side what really ran.
type Observer interface {
	// Settle waits until no upstream has work, at most for the limit.
	Settle(ctx context.Context, limit time.Duration)
	// Audit looks up requests and keys.
	Audit(ctx context.Context, q standin.AuditRequest) (standin.AuditResponse, error)
}

// FleetObserver observes a fleet in the same process.
type FleetObserver struct {
	Fleet *standin.Fleet
}

// Settle waits until the fleet has no work.
func (f FleetObserver) Settle(_ context.Context, limit time.Duration) {
	f.Fleet.AwaitQuiet(limit)
}

// Audit looks up requests and keys.
func (f FleetObserver) Audit(_ context.Context, q standin.AuditRequest) (standin.AuditResponse, error) {
	return f.Fleet.Audit(q), nil
}

// HTTPObserver observes a fleet by its admin address.
type HTTPObserver struct {
	// URL is the base URL of the fleet's admin address.
	URL string
}

// Settle waits for the limit.
func (h HTTPObserver) Settle(ctx context.Context, limit time.Duration) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Audit looks up requests and keys.
func (h HTTPObserver) Audit(ctx context.Context, q standin.AuditRequest) (standin.AuditResponse, error) {
	var a standin.AuditResponse
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.URL+"/audit", bytes.NewReader(mustJSON(q)))
	if err != nil {
		return a, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return a, fmt.Errorf("load: audit of the fleet: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return a, fmt.Errorf("load: audit of the fleet: %s", res.Status)
	}
	if err := json.NewDecoder(res.Body).Decode(&a); err != nil {
		return a, fmt.Errorf("load: audit of the fleet: %w", err)
	}
	return a, nil
}
