package gateway

import (
	"context"
	"slices"
	"time"

	"damaskbridge.example/damaskbridge/directory"
	"damaskbridge.example/damaskbridge/placement"
	"damaskbridge.example/damaskbridge/quarantine"
	"damaskbridge.example/damaskbridge/residency"
)

// quarantineRetryDelay is when a caller may come back whose prompt has a
// quarantined part. A part that was quarantined by mistake is free again before.
const quarantineRetryDelay = 5 * time.Second

// probeTimeout bounds the opening of a connection that shows whether a runner goes on.
const probeTimeout = time.Second

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
	if _, claimed := r.trials[q.Part]; claimed {
		return true
	}
	if q.Trial.VM == "" || q.Trial.VM != r.g.opts.Self || !r.g.evidence.ClaimTrial(q.Part, q.Trial.Number) {
		return false
	}
	if r.trials == nil {
		r.trials = map[quarantine.Part]uint32{}
	}
	r.trials[q.Part] = q.Trial.Number
	r.g.log.Info().Str("id", r.call.ID).Uint64("part", uint64(q.Part)).Uint32("number", q.Trial.Number).
		Msg("gateway: trial of a quarantined prompt part")
	return true
}

// releaseTrials gives back the trials of a request that no runner has begun to execute.
func (r *request) releaseTrials() {
	if r.executions > 0 {
		return
	}
	for part, number := range r.trials {
		r.g.evidence.ReleaseTrial(part, number)
	}
}

// settleLosses decides by the list which of the runners that were lost have crashed.
func (g *Gateway) settleLosses(s *directory.State) {
	unsettled := g.evidence.UnsettledRunners()
	if len(unsettled) == 0 {
		return
	}
	g.runners.fillListed(unsettled, g.listTruth(s))
	crashes, broken := g.evidence.RecordListed(time.Now(), unsettled)
	if crashes+broken == 0 {
		return
	}
	g.metrics.runnerCrashes.Add(crashes)
	g.metrics.brokenConnections.Add(broken)
	g.log.Info().Int("crashes", crashes).Int("broken_connections", broken).Msg("gateway: the list tells what runners were lost by")
}

// probeRunners asks, by a connection each, whether runners go on with which requests were
// lost, or whose answers have ended with their connections, if a part of them is
// quarantined. Where all prompts of a service share the part, no request would show it.
func (g *Gateway) probeRunners(s *directory.State) {
	if len(s.Quarantined) == 0 {
		return
	}
	names := g.evidence.RunnersToProbe(time.Now(), s.Quarantined)
	for _, runner := range g.runners.named(names) {
		go g.probe(runner)
	}
}

// probe records whether a runner lets a connection be opened.
func (g *Gateway) probe(runner *placement.RunnerState) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	openedAt, err := g.opts.Upstreams.Connect(ctx, runner.Addr)
	g.log.Info().Err(err).Str("runner", runner.ID).Str("addr", runner.Addr).Msg("gateway: a runner was asked whether it goes on")
	if err != nil {
		return
	}
	g.evidence.RecordAlive(time.Now(), quarantine.Exchange{Runner: runner.Name(), ConnectedAt: openedAt, SentAt: openedAt})
}

// named returns the listed runners with the given names whose data centres are not
// evacuated.
func (r *runnerSet) named(names []string) []*placement.RunnerState {
	r.mu.Lock()
	defer r.mu.Unlock()
	var runners []*placement.RunnerState
	for _, list := range r.byService {
		for i := range list {
			if slices.Contains(names, list[i].state.Name()) && r.eligible(&list[i], residency.Regions{}) {
				runners = append(runners, list[i].state)
			}
		}
	}
	return runners
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

// CrashReport returns what this VM has observed of crashed runners, given the
// parts that are quarantined.
func (g *Gateway) CrashReport(now time.Time, quarantined quarantine.Known) *quarantine.Report {
	return g.evidence.Report(now, quarantined)
}
