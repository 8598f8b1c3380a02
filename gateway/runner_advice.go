package gateway

import (
	"context"
	"time"

	"damaskbridge.example/damaskbridge/advice"
	"damaskbridge.example/damaskbridge/internal/timer"
)

// maxFreeDelay is how long the release of results waits for the end of a runner's
// pause. The runner drops results by itself later.
const maxFreeDelay = 5 * time.Second

// recordAdvice stores what a process of a runner has said in an answer. It reports
// whether that changes what the runner is sent.
func (g *Gateway) recordAdvice(addr, process string, said advice.Advice) (changed bool) {
	if said.Unreadable {
		g.metrics.adviceUnreadable.Inc()
		said.Unreadable = false
	}
	if said.IsZero() {
		return false
	}
	if said.Leaving {
		g.metrics.adviceLeaving.Inc()
	}
	if said.Pause > 0 {
		g.metrics.advicePause.Inc()
	}
	changed, isNew := g.advice.Record(time.Now(), process, said)
	if changed {
		g.pieces.refresh()
	}
	if !isNew {
		return changed
	}
	g.log.Info().Str("addr", addr).Str("process", process).Bool("leaving", said.Leaving).Int64("pause_ms", said.Pause.Milliseconds()).
		Msg("gateway: a runner asks for no new requests")
	return changed
}

// recordAdviceAt is recordAdvice for the listed runner at an address. An empty ID
// stands for any.
func (g *Gateway) recordAdviceAt(addr, id string, said advice.Advice) (changed bool) {
	if said.IsZero() {
		return false
	}
	process := g.runners.processAt(addr, id)
	return process != "" && g.recordAdvice(addr, process, said)
}

// awaitPauseEnd waits for the end of the pause that the runner at an address has
// asked for. It returns false if that takes longer than maxFreeDelay.
func (g *Gateway) awaitPauseEnd(addr string) bool {
	now := time.Now()
	if !g.advice.AnyPaused(now) {
		return true
	}
	until := g.advice.PausedUntil(now, g.runners.processAt(addr, ""))
	if until.IsZero() {
		return true
	}
	wait := until.Sub(now)
	return wait <= maxFreeDelay && timer.Sleep(context.Background(), wait)
}
