package gateway

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// counters are the gateway's metrics.
type counters struct {
	set *metrics.Set
	// firstByte is the time to an answer's first byte, stages that of all
	// stages of a request, both in seconds.
	firstByte *metrics.Histogram
	stages    *metrics.Histogram
	callFill  *metrics.Histogram
	resumed   *metrics.Counter
	// forwarded counts stage orders that went on to another zone.
	forwarded *metrics.Counter
	// inputsFreedEarly counts requests whose runner found freed inputs gone.
	inputsFreedEarly *metrics.Counter
}

func newCounters() *counters {
	set := metrics.NewSet()
	return &counters{
		set:       set,
		firstByte: set.NewHistogram("damask_gateway_first_byte_seconds"),
		stages:    set.NewHistogram("damask_gateway_stages_seconds"),
		callFill:  set.NewHistogram("damask_gateway_stage_call_pieces"),
		resumed:   set.NewCounter("damask_gateway_streams_resumed_total"),
		forwarded: set.NewCounter("damask_gateway_stage_orders_forwarded_total"),

		inputsFreedEarly: set.NewCounter("damask_gateway_inputs_freed_early_total"),
	}
}

func (c *counters) answered(status int) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`damask_gateway_answers_total{status="%d"}`, status)).Inc()
}

func (c *counters) refused(r Reason) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`damask_gateway_refusals_total{reason=%q}`, r)).Inc()
}

func (c *counters) repeated(reason string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`damask_gateway_repeats_total{reason=%q}`, reason)).Inc()
}

func (c *counters) began(start time.Time) { c.firstByte.UpdateDuration(start) }

// WriteMetrics writes the gateway's metrics in the text format.
func (g *Gateway) WriteMetrics(w io.Writer) { g.count.set.WritePrometheus(w) }
