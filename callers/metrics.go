package callers

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// unansweredReason is why a connection ended without a complete response to a
// request of which at least one byte was read.
type unansweredReason string

const (
	// headIncomplete: the client closed the connection or took too long while the
	// head of the request was being read.
	headIncomplete unansweredReason = "head_incomplete"
	// callerLeft: the client closed the connection while the request was handled.
	callerLeft unansweredReason = "caller_left"
	// callerLeftBefore: the client had closed the connection, on which it had got a
	// response, before the request was handled. It is not.
	callerLeftBefore unansweredReason = "caller_left_before"
	// handlerAborted: the handler ended the connection, for example because a
	// stream could not go on.
	handlerAborted unansweredReason = "aborted"
	// handlerPanicked: the handler panicked after it had begun its response.
	handlerPanicked unansweredReason = "panic"
	// behindClose: part of the request was read behind one whose response closed the
	// connection.
	behindClose unansweredReason = "behind_close"
	// timeToStopOver: the request was still handled when the time to stop was over.
	timeToStopOver unansweredReason = "stopped"
)

// serverMetrics holds the metrics of a Server.
type serverMetrics struct {
	set *metrics.Set
	// panics counts the panics of the handler, also those that were answered.
	panics *metrics.Counter
	// connsEvicted counts the connections that were closed for new ones, connsRefused
	// the new ones for which there was no place.
	connsEvicted *metrics.Counter
	connsRefused *metrics.Counter
	// connsMisaligned counts the connections that were closed because the body of an
	// answered request had not been read to its end.
	connsMisaligned *metrics.Counter
}

func newServerMetrics() *serverMetrics {
	set := metrics.NewSet()
	return &serverMetrics{
		set: set, panics: set.NewCounter("damask_callers_panics_total"),
		connsEvicted: set.NewCounter("damask_callers_connections_evicted_total"),
		connsRefused: set.NewCounter("damask_callers_connections_refused_total"), connsMisaligned: set.NewCounter("damask_callers_connections_misaligned_total"),
	}
}

func (m *serverMetrics) recordUnanswered(reason unansweredReason) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`damask_callers_unanswered_total{reason=%q}`, string(reason))).Inc()
}

// WriteMetrics writes the server's metrics in the Prometheus text format.
func (s *Server) WriteMetrics(w io.Writer) { s.metrics.set.WritePrometheus(w) }
