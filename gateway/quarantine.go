package gateway

import (
	"context"
	"time"

	"damaskbridge.example/damaskbridge/directory"
	"damaskbridge.example/damaskbridge/execution"
	"damaskbridge.example/damaskbridge/placement"
	"damaskbridge.example/damaskbridge/quarantine"
)

// quarantineRetryDelay is when a caller may come back whose prompt has a
// quarantined part. A part that was quarantined by mistake is free again before.
const quarantineRetryDelay = 5 * time.Second

// refuseQuarantined refuses a request whose prompt has a part that crashes
// runners. Parts with which this VM has had an answer are not refused: it
// contests their quarantine.
func (r *request) refuseQuarantined(now time.Time) *Refusal {
	state := r.g.state.Load()
	if len(state.Quarantined) == 0 {
		return nil
	}
	for _, id := range r.call.Prompt.SharedIDs() {
		part := quarantine.PartOf(id)
		q, quarantined := state.Quarantined[part]
		if quarantined && !r.g.evidence.HasAnswer(now, part) && !r.mayTry(&q) {
			return &Refusal{Reason: PromptQuarantined, RetryAfter: quarantineRetryDelay, Detail: "prompt part " + id + " crashes runners"}
		}
	}
	return nil
}

// mayTry reports whether the request may be sent in spite of a quarantined part.
// It claims this VM's trial of the part, which is for one send.
func (r *request) mayTry(q *quarantine.Quarantined) bool {
	if r.sends > 0 {
		return false
	}
	if r.trials[q.Part] {
		return true
	}
	if q.Trial.VM == "" || q.Trial.VM != r.g.opts.Self || !r.g.evidence.ClaimTrial(q.Part, q.Trial.Number) {
		return false
	}
	if r.trials == nil {
		r.trials = quarantine.Set{}
	}
	r.trials[q.Part] = true
	r.g.log.Info().Str("id", r.call.ID).Uint64("part", uint64(q.Part)).Uint32("number", q.Trial.Number).
		Msg("gateway: trial of a quarantined prompt part")
	return true
}

// recordLoss records that a runner was lost while it may have executed the
// request, unless the request was given up here.
func (r *request) recordLoss(ctx context.Context, runner *placement.RunnerState, record *attemptRecord) {
	if ctx.Err() == nil {
		r.g.evidence.RecordLoss(time.Now(), r.g.runners.exchangeWith(runner, record), r.sharedParts())
	}
}

// recordAlive records that a runner, and not another one at its address, has
// answered.
func (r *request) recordAlive(runner *placement.RunnerState, response *Response) {
	if response.Conclusion != execution.Misdirected {
		now := time.Now()
		r.g.evidence.RecordAlive(now, r.g.runners.exchangeWith(runner, response.record))
		r.g.runners.recordAnswered(now, runner)
	}
}

// exchangeWith names an attempt at a runner as evidence.
func (r *runnerSet) exchangeWith(runner *placement.RunnerState, record *attemptRecord) quarantine.Exchange {
	return quarantine.Exchange{Runner: runner.Name(), Process: r.startOf(runner), ConnectedAt: record.connected(), SentAt: record.began}
}

// settleLosses decides by the list which of the runners that were lost have crashed.
func (g *Gateway) settleLosses(s *directory.State) {
	unsettled := g.evidence.UnsettledRunners()
	if len(unsettled) == 0 {
		return
	}
	g.runners.fillListed(unsettled, g.listTruth(s))
	crashes, broken := g.evidence.RecordListed(unsettled)
	if crashes+broken == 0 {
		return
	}
	g.metrics.runnerCrashes.Add(crashes)
	g.metrics.brokenConnections.Add(broken)
	g.log.Info().Int("crashes", crashes).Int("broken_connections", broken).Msg("gateway: the list tells what runners were lost by")
}

// fillListed fills in what the list shows of the runners. asOf returns, for a data
// centre, a time at which its runners were as the list shows them.
func (r *runnerSet) fillListed(runners quarantine.Runners, asOf func(zone string) time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, list := range r.byService {
		for i := range list {
			l := &list[i]
			name := l.state.Name()
			if _, asked := runners[name]; !asked {
				continue
			}
			shown := quarantine.Listed{Process: l.process}
			if l.StartedUnixMS != 0 {
				shown.AsOf = asOf(l.Zone)
			}
			runners[name] = shown
		}
	}
}

// recordAnswer records a complete answer. An answer that ends with its connection
// may also be one that a crash has cut short.
func (r *request) recordAnswer(response *Response) {
	if response.Status/100 == 2 && !response.EndsWithConnection {
		r.g.evidence.RecordAnswer(time.Now(), r.sharedParts())
	}
}

// soundAnswerTime is how long after its first event an answer must still go on to
// show that its prompt does not crash engines: these end as they begin to answer.
const soundAnswerTime = time.Second

// streamProgress tells when an answer has gone on for soundAnswerTime.
type streamProgress struct {
	firstEventAt time.Time
	sound        bool
}

// event records an event. It reports whether the answer has turned out sound with
// it.
func (p *streamProgress) event(now time.Time) bool {
	if p.firstEventAt.IsZero() {
		p.firstEventAt = now
	}
	if p.sound || now.Sub(p.firstEventAt) < soundAnswerTime {
		return false
	}
	p.sound = true
	return true
}

func (r *request) sharedParts() []quarantine.Part {
	return quarantine.PartsOf(r.call.Prompt.SharedIDs())
}

// CrashReport returns what this VM has observed of crashed runners, given the
// parts that are quarantined.
func (g *Gateway) CrashReport(now time.Time, quarantined quarantine.Known) *quarantine.Report {
	return g.evidence.Report(now, quarantined)
}
