package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// sseWriter writes server-sent events and flushes each one. A slow caller blocks
// its own request only.
type sseWriter struct {
	w  http.ResponseWriter
	rc *http.ResponseController
}

// callerWriteTimeout limits the write of one event to a slow caller.
const callerWriteTimeout = 10 * time.Second

func newSSEWriter(w http.ResponseWriter) *sseWriter {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	return &sseWriter{w: w, rc: http.NewResponseController(w)}
}

// event writes one event with an ID and a name.
func (s *sseWriter) event(id int, name string, data any) error {
	text, err := json.Marshal(data)
	if err != nil {
		return fmt.Errorf("sse: %w", err)
	}
	return s.write(fmt.Appendf(nil, "id: %d\nevent: %s\ndata: %s\n\n", id, name, text))
}

// data writes one event that contains only data.
func (s *sseWriter) data(data any) error {
	text, err := json.Marshal(data)
	if err != nil {
		return fmt.Errorf("sse: %w", err)
	}
	return s.write(fmt.Appendf(nil, "data: %s\n\n", text))
}

func (s *sseWriter) write(b []byte) error {
	// A ResponseWriter without deadlines blocks until the write completes.
	_ = s.rc.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if _, err := s.w.Write(b); err != nil {
		return err
	}
	return s.rc.Flush()
}
