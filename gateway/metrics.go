package gateway

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"damaskbridge.example/damaskbridge/execution"
)

// gatewayMetrics holds the gateway's metrics.
type gatewayMetrics struct {
	set *metrics.Set
	// firstByte is the time to the first byte of an answer, stages the time to
	// complete all stages of a request, both in seconds.
	firstByte  *metrics.Histogram
	stages     *metrics.Histogram
	callPieces *metrics.Histogram
	resumes    *metrics.Counter
	// standbys counts the times that another runner was looked for because a
	// stream was silent.
	standbys *metrics.Counter
	// overlap is how long two runners had the same stream, in seconds.
	overlap *metrics.Histogram
	// forwarded counts stage calls that were forwarded to another zone.
	forwarded *metrics.Counter
	// adviceLeaving and advicePause count the answers in which a runner said that
	// it leaves, or that it wants no requests for a while.
	adviceLeaving *metrics.Counter
	advicePause   *metrics.Counter
	// adviceUnreadable counts the answers that named a time which is none.
	adviceUnreadable *metrics.Counter
	// warmUpRequests counts the requests that were sent to runners that may be cold.
	warmUpRequests *metrics.Counter
	// runnerCrashes and brokenConnections count the losses of requests with a runner
	// that the list has shown to be a crash, or to be none.
	runnerCrashes     *metrics.Counter
	brokenConnections *metrics.Counter
	// inputsFreedEarly counts the cases in which a runner found its inputs
	// already freed.
	inputsFreedEarly *metrics.Counter
	// schedulerFull counts the tasks that found the queue of the piece scheduler
	// full.
	schedulerFull *metrics.Counter
}

func newGatewayMetrics() *gatewayMetrics {
	set := metrics.NewSet()
	return &gatewayMetrics{
		set:        set,
		firstByte:  set.NewHistogram("damask_gateway_first_byte_seconds"),
		stages:     set.NewHistogram("damask_gateway_stages_seconds"),
		callPieces: set.NewHistogram("damask_gateway_stage_call_pieces"),
		resumes:    set.NewCounter("damask_gateway_streams_resumed_total"),
		standbys:   set.NewCounter("damask_gateway_stream_standbys_total"),
		overlap:    set.NewHistogram("damask_gateway_stream_overlap_seconds"),
		forwarded:  set.NewCounter("damask_gateway_stage_orders_forwarded_total"),

		adviceLeaving: set.NewCounter(`damask_gateway_runner_advice_total{kind="leaving"}`),
		advicePause:   set.NewCounter(`damask_gateway_runner_advice_total{kind="pause"}`),

		adviceUnreadable:  set.NewCounter(`damask_gateway_runner_advice_total{kind="unreadable"}`),
		warmUpRequests:    set.NewCounter("damask_gateway_warm_up_requests_total"),
		inputsFreedEarly:  set.NewCounter("damask_gateway_inputs_freed_early_total"),
		runnerCrashes:     set.NewCounter(`damask_gateway_runner_losses_total{outcome="crash"}`),
		brokenConnections: set.NewCounter(`damask_gateway_runner_losses_total{outcome="broken_connections"}`),

		schedulerFull: set.NewCounter("damask_gateway_scheduler_queue_full_total"),
	}
}

func (m *gatewayMetrics) recordAnswer(status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`damask_gateway_answers_total{status="%d"}`, status)).Inc()
}

func (m *gatewayMetrics) recordRefusal(r Reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`damask_gateway_refusals_total{reason=%q}`, r)).Inc()
}

func (m *gatewayMetrics) recordConclusion(rule execution.Rule) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`damask_gateway_conclusions_total{rule=%q}`, string(rule))).Inc()
}

func (m *gatewayMetrics) recordReservation(kept bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`damask_gateway_reservations_total{kept="%t"}`, kept)).Inc()
}

func (m *gatewayMetrics) recordStopped(o stopOutcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`damask_gateway_stop_requests_total{outcome=%q}`, string(o))).Inc()
}

func (m *gatewayMetrics) recordRepeat(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`damask_gateway_repeats_total{reason=%q}`, reason)).Inc()
}

func (m *gatewayMetrics) recordFirstByte(start time.Time) { m.firstByte.UpdateDuration(start) }

// WriteMetrics writes the gateway's metrics in the Prometheus text format.
func (g *Gateway) WriteMetrics(w io.Writer) { g.metrics.set.WritePrometheus(w) }
