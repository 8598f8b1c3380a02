package upstream

import (
	"context"
	"net/http"
)

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	Op string
	// Key is the idempotency key, passed on to the service.
	Key         string
	ContentType string
	Body        []byte
	// Guard is set for a call that may not be repeated. It makes the call use
	// a new connection and is checked directly before the first byte.
	Guard Guard
}

// ServiceResult is a plain service's response, of whatever status.
type ServiceResult struct {
	Status      int
	ContentType string
	Body        []byte
	Load        LoadReport
	WireBytes   int
}

// Service calls a plain service once.
func (c *Client) Service(ctx context.Context, addr string, a Attempt, s ServiceCall) (ServiceResult, error) {
	h := http.Header{}
	if s.ContentType != "" {
		h.Set("Content-Type", s.ContentType)
	}
	if s.Key != "" {
		h.Set(HeaderKey, s.Key)
	}
	resp, err := c.open(ctx, call{method: http.MethodPost, addr: addr, path: "/call/" + s.Op, header: h, body: s.Body, attempt: a.String(), guard: s.Guard, fresh: a.Number > 1})
	if err != nil {
		return ServiceResult{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if !finalStatus(resp.StatusCode) {
		return ServiceResult{}, &Error{Cause: Status, Address: addr, Status: resp.StatusCode}
	}
	raw, err := c.readAll(ctx, addr, resp)
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

// finalStatus says whether a status can be passed on as that of a response.
// net/http panics when it is to write a status below 100, and takes one below
// 200 for an interim response.
func finalStatus(status int) bool {
	const first, last = 200, 599
	return status >= first && status <= last
}

// storableContentType gives the content type if it is printable ASCII, else
// none. The ledger's CBOR text does not decode with bytes that are not UTF-8.
func storableContentType(s string) string {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return ""
		}
	}
	return s
}
