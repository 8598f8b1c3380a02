package routing

import (
	"math"
	"time"
)

const (
	// latencyGain is the weight of a new sample in the mean latency.
	latencyGain = 0.2
	// historySize is the number of past in-flight counts kept for an upstream.
	historySize = 32
	// historyInterval is the minimum time between two past in-flight counts. With
	// historySize it covers load reports that lag by up to 1.6 s.
	historyInterval = 50 * time.Millisecond
	// credibilityLoss multiplies the credibility of an upstream's load reports
	// for each false one, and credibilityGain is added for each consistent one.
	// The loss is faster, so that the credibility stays low for an upstream of
	// which half of the reports are false.
	credibilityLoss = 0.5
	credibilityGain = 0.05
	// reportSlack is the number of requests by which a load report may fall short
	// of the VM's own in-flight count, because some requests are in transit.
	reportSlack = 2
)

// upstreamStats holds the VM's statistics of one upstream, from its own traffic
// and from the upstream's reports.
type upstreamStats struct {
	address string
	pool    *poolStats
	region  *regionStats

	// inFlight holds the attempts in flight in the order in which they were sent.
	inFlight []attempt
	// history is a ring buffer of past in-flight counts. It is allocated with the
	// first attempt, since most upstreams of a large pool never get one from this
	// VM.
	history *[historySize]inFlightSample
	// historyCount is the number of counts ever written to history.
	historyCount int

	meanLatencyMS     float64
	latencySamples    int
	lastLatencySample time.Time

	lastReport Load
	hasReport  bool
	// otherLoad is the load due to other VMs by the last report, in requests.
	otherLoad float64
	// credibility is the weight of the load reports, from 0 to 1.
	credibility float64

	// models and adapters are the loaded ones; nil until they are reported.
	models      map[string]bool
	adapters    map[string]bool
	prefixIndex *prefixIndex

	ejection ejection
	circuit  connectBreaker
}

// attempt is one attempt in flight.
type attempt struct {
	ticket uint64
	sent   time.Time
}

// inFlightSample is the VM's own in-flight count at a past time, in Unix
// nanoseconds.
type inFlightSample struct {
	unixNano int64
	count    int32
}

// startAttempt records an attempt.
func (s *upstreamStats) startAttempt(ticket uint64, now time.Time) {
	s.inFlight = append(s.inFlight, attempt{ticket: ticket, sent: now})
	s.recordInFlight(now)
}

// endAttempt removes an attempt and reports whether it was in flight.
func (s *upstreamStats) endAttempt(ticket uint64, now time.Time) bool {
	for i := range s.inFlight {
		if s.inFlight[i].ticket == ticket {
			s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
			s.recordInFlight(now)
			return true
		}
	}
	return false
}

// recordInFlight adds the current in-flight count to the history. It is used to
// correct load reports that are measured now and arrive later.
func (s *upstreamStats) recordInFlight(now time.Time) {
	if s.history == nil {
		s.history = new([historySize]inFlightSample)
	}
	p := inFlightSample{unixNano: now.UnixNano(), count: int32(len(s.inFlight))}
	if s.historyCount > 0 {
		last := &s.history[(s.historyCount-1)%historySize]
		if p.unixNano-last.unixNano < int64(historyInterval) {
			last.count = p.count
			return
		}
	}
	s.history[s.historyCount%historySize] = p
	s.historyCount++
}

// inFlightAt returns the VM's own in-flight count at a past time, 0 if the history
// does not reach back that far.
func (s *upstreamStats) inFlightAt(at time.Time) int {
	oldest := max(0, s.historyCount-historySize)
	for i := s.historyCount - 1; i >= oldest; i-- {
		if p := s.history[i%historySize]; p.unixNano <= at.UnixNano() {
			return int(p.count)
		}
	}
	return 0
}

// observeLoad records a load report. The load that exceeds the VM's own in-flight
// count at the time of the measurement is attributed to other VMs. Reports that
// are not newer than the last one are ignored.
func (s *upstreamStats) observeLoad(l Load, now time.Time) {
	if l.At.After(now) {
		l.At = now
	}
	if s.hasReport && !l.At.After(s.lastReport.At) {
		return
	}
	own := s.inFlightAt(l.At)
	total := max(0, l.Running) + max(0, l.Waiting)
	s.updateCredibility(total, own)
	s.lastReport, s.hasReport = l, true
	s.otherLoad = float64(max(0, total-own))
	s.pool.observeOtherLoad(s.otherLoad)
}

// updateCredibility lowers the credibility if a report shows fewer requests than
// the VM itself had in flight, or less than the mean load on an upstream that is
// much slower than its peers. Otherwise it raises it.
func (s *upstreamStats) updateCredibility(total, own int) {
	belowOwn := total+reportSlack < own
	slowButIdle := s.latencySamples >= s.pool.opts.Ejection.Samples &&
		s.meanLatencyMS > slowLatencyFactor*s.region.medianMS &&
		float64(total) < s.pool.meanReportedLoad
	s.pool.observeReportedLoad(float64(total))
	if belowOwn || slowButIdle {
		s.credibility *= credibilityLoss
		return
	}
	s.credibility = min(1, s.credibility+credibilityGain)
}

// correctedLoad returns the estimated number of requests at the upstream now: the
// VM's own plus those of other VMs. The older or less credible the last report,
// the higher the weight of the pool's mean instead.
func (s *upstreamStats) correctedLoad(now time.Time) float64 {
	own := float64(len(s.inFlight))
	if !s.hasReport {
		return own + s.pool.meanOtherLoad
	}
	age := max(0, now.Sub(s.lastReport.At))
	weight := s.credibility * math.Exp(-float64(age)/s.pool.reportDecayNS())
	return own + weight*s.otherLoad + (1-weight)*s.pool.meanOtherLoad
}

// observeLatency adds a sample to the mean latency.
func (s *upstreamStats) observeLatency(d time.Duration, now time.Time) {
	sample := float64(d) / float64(time.Millisecond)
	if s.latencySamples == 0 {
		s.meanLatencyMS = sample
	} else {
		s.meanLatencyMS += latencyGain * (sample - s.meanLatencyMS)
	}
	s.latencySamples++
	s.lastLatencySample = now
}

// expectedLatencyMS returns the expected latency of the next request. It decays to
// the median of the region, so that an upstream that was slow is tried again. It
// is at least the age of the oldest attempt in flight, which shows that an
// upstream is slow before any response does.
func (s *upstreamStats) expectedLatencyMS(now time.Time) float64 {
	median := s.region.medianMS
	expected := median
	if s.latencySamples > 0 {
		age := max(0, now.Sub(s.lastLatencySample))
		weight := math.Exp(-float64(age) / float64(s.pool.opts.LatencyDecay))
		expected = median + weight*(s.meanLatencyMS-median)
	}
	return max(expected, s.oldestAttemptMS(now))
}

// oldestAttemptMS returns the age of the oldest attempt in flight, 0 if there is
// none.
func (s *upstreamStats) oldestAttemptMS(now time.Time) float64 {
	if len(s.inFlight) == 0 {
		return 0
	}
	return float64(now.Sub(s.inFlight[0].sent)) / float64(time.Millisecond)
}
