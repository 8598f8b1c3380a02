package daemon

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

const (
	pathMetrics   = "/metrics"
	headerTimeout = 5 * time.Second
)

// MetricsHandler serves what writers write, and the metrics of the process.
func MetricsHandler(writers ...func(io.Writer)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		for _, write := range writers {
			write(w)
		}
		metrics.WriteProcessMetrics(w)
	})
	return mux
}

// ServeHTTP serves h at addr until the returned function is called. An address
// that cannot be had is logged; the process goes on without it.
func ServeHTTP(addr string, h http.Handler, logger *log.Logger) (stop func()) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		logger.Error().Err(err).Str("address", addr).Msg("process: listen failed")
		return func() {}
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	return func() { _ = server.Close() }
}
