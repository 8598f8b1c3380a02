package daemon

import (
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"damaskbridge.example/damaskbridge/buffers"
	"damaskbridge.example/damaskbridge/callers"
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

// doorLimits bound the heads at an address that ServeHTTP serves.
var doorLimits = callers.Limits{MaxHeaderBytes: 16 << 10, HeaderTimeout: headerTimeout, IdleTimeout: time.Minute}

// maxDoorConns bounds the connections at such an address. Whoever asks for readiness
// or metrics has a few, operators have up to eight.
const maxDoorConns = 128

// ServeHTTP serves h at addr until the returned function is called. Heads are counted
// in memory, which may be nil. An address that cannot be had is logged; the process
// goes on without it.
func ServeHTTP(addr string, h http.Handler, memory *buffers.Memory, logger *log.Logger) (stop func()) {
	server, err := callers.Listen(addr, doorLimits, h, logger)
	if err != nil {
		logger.Error().Err(err).Str("address", addr).Msg("process: listen failed")
		return func() {}
	}
	server.SetBounds(callers.Bounds{MaxConns: maxDoorConns, Memory: memory})
	server.Start()
	return server.Close
}
