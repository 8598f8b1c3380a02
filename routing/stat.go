package routing

import (
	"math"
	"time"
)

const (
	// latencyGain is the weight of a new latency sample.
	latencyGain = 0.2
	// historyLength bounds the past in-flight counts kept for one upstream.
	historyLength = 32
	// historyStep is the finest distance of two past in-flight counts; with
	// historyLength it covers reports that lag up to 1.6 s.
	historyStep = 50 * time.Millisecond
	// credibilityLoss and credibilityGain change the trust in an upstream's
	// reports with each false or consistent one. Losing is faster than gaining,
	// so that an upstream that lies half of the time is not believed.
	credibilityLoss = 0.5
	credibilityGain = 0.05
	// lieSlack is the number of requests by which a report may fall short of
	// the VM's own in-flight count, for requests on their way.
	lieSlack = 2
)

// stat is what the VM knows about one upstream from its own traffic and from
// the upstream's reports.
type stat struct {
	address string
	pool    *poolStat
	region  *regionStat

	inFlight []flight
	// history is made with the first request, since most upstreams of a large
	// pool never get one from this VM.
	history  *[historyLength]pastLoad
	historyN int

	latencyMS float64
	samples   int
	sampledAt time.Time

	load        Load
	hasLoad     bool
	others      float64
	credibility float64

	models   map[string]bool
	adapters map[string]bool
	prefixes *prefixCache

	ejection ejection
	circuit  circuit
}

// flight is one attempt under way, ordered by the time sent.
type flight struct {
	ticket uint64
	sent   time.Time
}

// pastLoad is an own in-flight count; its time is in nanoseconds since 1970.
type pastLoad struct {
	at    int64
	count int32
}

// start records an attempt.
func (s *stat) start(ticket uint64, now time.Time) {
	s.inFlight = append(s.inFlight, flight{ticket: ticket, sent: now})
	s.remember(now)
}

// finish forgets an attempt; false if it is not under way.
func (s *stat) finish(ticket uint64, now time.Time) bool {
	for i := range s.inFlight {
		if s.inFlight[i].ticket == ticket {
			s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
			s.remember(now)
			return true
		}
	}
	return false
}

// remember notes the present in-flight count for the correction of reports
// that were measured now and arrive later.
func (s *stat) remember(now time.Time) {
	if s.history == nil {
		s.history = new([historyLength]pastLoad)
	}
	p := pastLoad{at: now.UnixNano(), count: int32(len(s.inFlight))}
	if s.historyN > 0 {
		last := &s.history[(s.historyN-1)%historyLength]
		if p.at-last.at < int64(historyStep) {
			last.count = p.count
			return
		}
	}
	s.history[s.historyN%historyLength] = p
	s.historyN++
}

// inFlightAt gives the VM's own in-flight count at a past time.
func (s *stat) inFlightAt(at time.Time) int {
	oldest := max(0, s.historyN-historyLength)
	for i := s.historyN - 1; i >= oldest; i-- {
		if p := s.history[i%historyLength]; p.at <= at.UnixNano() {
			return int(p.count)
		}
	}
	return 0
}

// observeLoad takes a report: what exceeds the VM's own requests at that time
// belongs to other VMs.
func (s *stat) observeLoad(l Load, now time.Time) {
	if l.At.After(now) {
		l.At = now
	}
	if s.hasLoad && !l.At.After(s.load.At) {
		return
	}
	own := s.inFlightAt(l.At)
	total := max(0, l.Running) + max(0, l.Waiting)
	s.judge(total, own)
	s.load, s.hasLoad = l, true
	s.others = float64(max(0, total-own))
	s.pool.observeOthers(s.others)
}

// judge lowers the credibility of a report that shows fewer requests than the
// VM itself had under way, or little load on an upstream that is much slower
// than its peers.
func (s *stat) judge(total, own int) {
	short := total+lieSlack < own
	slow := s.samples >= s.pool.opts.Ejection.Samples &&
		s.latencyMS > slowFactor*s.region.medianMS &&
		float64(total) < s.pool.meanTotal
	s.pool.observeTotal(float64(total))
	if short || slow {
		s.credibility *= credibilityLoss
		return
	}
	s.credibility = min(1, s.credibility+credibilityGain)
}

// correctedLoad gives the requests that the upstream presumably has now: the
// VM's own plus those of other VMs. The older or the less credible the report,
// the more the pool's mean stands in for it.
func (s *stat) correctedLoad(now time.Time) float64 {
	own := float64(len(s.inFlight))
	if !s.hasLoad {
		return own + s.pool.meanOthers
	}
	age := max(0, now.Sub(s.load.At))
	weight := s.credibility * math.Exp(-float64(age)/s.pool.reportLife())
	return own + weight*s.others + (1-weight)*s.pool.meanOthers
}

// observeLatency adds a sample.
func (s *stat) observeLatency(d time.Duration, now time.Time) {
	sample := float64(d) / float64(time.Millisecond)
	if s.samples == 0 {
		s.latencyMS = sample
	} else {
		s.latencyMS += latencyGain * (sample - s.latencyMS)
	}
	s.samples++
	s.sampledAt = now
}

// expectedLatencyMS gives the latency that the next request can expect. It
// falls back to its region's median with time, so that an upstream that was slow
// is tried again, and it rises at once with the age of the oldest request under
// way, before any response shows that the upstream is slow.
func (s *stat) expectedLatencyMS(now time.Time) float64 {
	median := s.region.medianMS
	expected := median
	if s.samples > 0 {
		age := max(0, now.Sub(s.sampledAt))
		weight := math.Exp(-float64(age) / float64(s.pool.opts.LatencyLife))
		expected = median + weight*(s.latencyMS-median)
	}
	return max(expected, s.oldestMS(now))
}

// oldestMS gives the age of the oldest request under way.
func (s *stat) oldestMS(now time.Time) float64 {
	if len(s.inFlight) == 0 {
		return 0
	}
	return float64(now.Sub(s.inFlight[0].sent)) / float64(time.Millisecond)
}
