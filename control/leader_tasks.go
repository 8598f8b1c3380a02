package control

import (
	"context"
	"time"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
)

// runLeaderTasks does the leader's periodic work: it expires sessions,
// maintains the set of voters and lets the state machine drop expired
// responses.
func (s *Server) runLeaderTasks(ctx context.Context) {
	ticker := time.NewTicker(s.opts.ReportInterval)
	defer ticker.Stop()
	lastRetire := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		v := s.replica.published.Load()
		if v.confirmedAt.IsZero() {
			continue
		}
		s.expireSessions(ctx, v)
		if s.opts.Seeds != nil {
			_ = s.replica.Do(ctx, s.replica.reconcileVoters)
		} else {
			_ = s.replica.Do(ctx, s.replica.promoteLearners)
		}
		if now := time.Now(); now.Sub(lastRetire) >= s.opts.RetireInterval {
			lastRetire = now
			s.retire(ctx, now)
		}
	}
}

// expireSessions ends the sessions that were not renewed in time.
func (s *Server) expireSessions(ctx context.Context, v *view) {
	open, err := s.openSessions(ctx, nil)
	if err != nil {
		return
	}
	s.mu.Lock()
	list := s.state.markExpired(time.Now(), v, open)
	s.mu.Unlock()
	for _, id := range list {
		s.expireSession(ctx, id)
	}
}

func (s *Server) expireSession(ctx context.Context, id ids.SessionID) {
	ctx, cancel := context.WithTimeout(ctx, electionWait)
	defer cancel()
	// A failed proposal is repeated in the next round.
	reply, err := s.replica.Propose(ctx, command.Command{ExpireSession: &command.ExpireSession{Session: id}})
	if err == nil && reply.Done {
		s.counters.sessionsExpired.Inc()
		s.opts.Logger.Info().Str("session", id.String()).Msg("control: session expired")
	}
}

func (s *Server) retire(ctx context.Context, now time.Time) {
	if s.opts.Views.RetireCutoff == nil {
		return
	}
	var before int64
	if s.replica.Do(ctx, func() { before = s.opts.Views.RetireCutoff(now.UnixMilli()) }) != nil || before <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, electionWait)
	defer cancel()
	_, _ = s.replica.Propose(ctx, command.Command{Retire: &command.Retire{BeforeUnixMS: before}})
}
