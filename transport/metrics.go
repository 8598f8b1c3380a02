package transport

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Values of the reason label of damask_transport_calls_failed_total.
const (
	reasonDial            = "dial"
	reasonNotSent         = "not_sent"
	reasonProgressTimeout = "silent"
	reasonLost            = "lost"
	reasonCanceled        = "canceled"
	reasonRemote          = "remote"
	reasonRefused         = "refused"
	reasonTooLarge        = "too_large"
)

var (
	connsOpened    = metrics.NewCounter(`damask_transport_connections_opened_total`)
	connsAccepted  = metrics.NewCounter(`damask_transport_connections_accepted_total`)
	connsTimedOut  = metrics.NewCounter(`damask_transport_connections_closed_silent_total`)
	acceptFailures = metrics.NewCounter(`damask_transport_accepts_failed_total`)
	connsRejected  = metrics.NewCounter(`damask_transport_connections_rejected_total`)
)

// methodCounters counts the calls and the encoded message bytes of one method,
// without the overhead of QUIC and UDP.
type methodCounters struct {
	calls, in, out *metrics.Counter
}

const maxCountedMethods = 32

var counters = newCounters()

func newCounters() [maxCountedMethods]methodCounters {
	var all [maxCountedMethods]methodCounters
	for i := range all {
		name := Method(i).String()
		all[i] = methodCounters{
			calls: metrics.NewCounter(fmt.Sprintf(`damask_transport_calls_total{method=%q}`, name)),
			in:    metrics.NewCounter(fmt.Sprintf(`damask_transport_bytes_total{direction="in",method=%q}`, name)),
			out:   metrics.NewCounter(fmt.Sprintf(`damask_transport_bytes_total{direction="out",method=%q}`, name)),
		}
	}
	return all
}

func countersOf(m Method) *methodCounters {
	return &counters[int(m)%maxCountedMethods]
}

func countFailure(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`damask_transport_calls_failed_total{reason=%q}`, reason)).Inc()
}
