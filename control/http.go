package control

import (
	"net/http"
)

// Handler returns the HTTP API: health, readiness, metrics, and the admin API
// of Options.AdminHandler for every other path.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		select {
		case <-s.replica.Done():
			http.Error(w, "the replica has stopped", http.StatusServiceUnavailable)
		default:
			w.WriteHeader(http.StatusOK)
		}
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := s.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { s.WriteMetrics(w) })
	if s.opts.AdminHandler != nil {
		mux.Handle("/", s.opts.AdminHandler)
	}
	return mux
}
