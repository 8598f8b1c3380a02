package upstream

import (
	"context"
	"net/http"
)

// ServiceCall describes a call to a plain service.
type ServiceCall struct {
	Op string
	// Key is the idempotency key that is sent to the service.
	Key         string
	ContentType string
	Body        []byte
	// Guard is set for a call that must not be repeated. The call then uses a new
	// connection, and Guard is called directly before the first byte.
	Guard Guard
}

// ServiceResult is the response of a plain service, with any final status.
type ServiceResult struct {
	Status      int
	ContentType string
	Body        []byte
	Load        LoadReport
	WireBytes   int
}

// Service makes one attempt at a call to a plain service.
func (c *Client) Service(ctx context.Context, addr string, a Attempt, s ServiceCall) (ServiceResult, error) {
	h := http.Header{}
	if s.ContentType != "" {
		h.Set("Content-Type", s.ContentType)
	}
	if s.Key != "" {
		h.Set(HeaderKey, s.Key)
	}
	watch := c.newSilenceWatch(addr, a.OnSilent)
	defer watch.stop()
	spec := callSpec{method: http.MethodPost, addr: addr, path: "/call/" + s.Op, header: h, body: s.Body, attempt: a.String(), onWritten: a.OnWritten, guard: s.Guard, newConnection: a.Number > 1, watch: watch}
	resp, err := c.open(ctx, spec)
	if err != nil {
		return ServiceResult{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if !isFinalStatus(resp.StatusCode) {
		return ServiceResult{}, &Error{Cause: ErrorStatus, Address: addr, Status: resp.StatusCode}
	}
	raw, err := c.readAll(ctx, spec, resp)
	if err != nil {
		return ServiceResult{}, err
	}
	out := ServiceResult{
		Status:      resp.StatusCode,
		ContentType: storableContentType(resp.Header.Get("Content-Type")),
		Body:        raw,
		Load:        parseLoadHeader(resp.Header.Get(HeaderLoad)),
		WireBytes:   len(s.Body) + len(raw),
	}
	return out, nil
}

// isFinalStatus reports whether a status can be written as that of a response.
// net/http panics on a status below 100 and treats one below 200 as an interim
// response.
func isFinalStatus(status int) bool {
	const first, last = 200, 599
	return status >= first && status <= last
}

// storableContentType returns s if it is printable ASCII and "" otherwise. The
// ledger stores it as CBOR text, which does not decode if it is not UTF-8.
func storableContentType(s string) string {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return ""
		}
	}
	return s
}
