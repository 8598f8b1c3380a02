package entry

import (
	"context"
	"net/http"
	"time"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/upstream"
)

// serviceOutput is a plain service's response as one attempt gave it.
type serviceOutput struct {
	result upstream.ServiceResult
}

func (o serviceOutput) wire() int                 { return o.result.WireBytes }
func (o serviceOutput) served() time.Duration     { return 0 }
func (o serviceOutput) load() upstream.LoadReport { return o.result.Load }

// serveRepeatable makes a call that may be sent more than once.
func (s *Server) serveRepeatable(w http.ResponseWriter, r *http.Request, j *serviceJob) error {
	s.running.Add(1)
	defer s.running.Done()
	ctx, cancel := context.WithDeadline(r.Context(), j.q.deadline)
	defer cancel()
	a, err := s.callRepeatable(ctx, j)
	if err != nil {
		return s.refuse(j.q, s.explain(ctx, j.q, err))
	}
	j.q.finish(a.Body, nil)
	s.counters.answered("service", j.q.workspace.Name)
	sendAnswer(w, a)
	return nil
}

func (s *Server) callRepeatable(ctx context.Context, j *serviceJob) (*command.Answer, error) {
	stages := []settings.Stage{j.stage()}
	if err := s.feasible(j.q, stages, 0); err != nil {
		return nil, err
	}
	if err := j.q.begin(ctx); err != nil {
		return nil, err
	}
	plan := s.times.Plan(stageKeys(stages, 0), time.Until(j.q.deadline), time.Now())
	p, err := s.admit(ctx, j.q, j.svc.Pool, plan.Need)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	out, err := attempts(ctx, s, j.q, stages[0], stageWork{grant: plan.Grants[0], bytes: int64(len(j.call.Body))}, &StageReport{}, func(ctx context.Context, addr string, a upstream.Attempt, _ func()) (serviceOutput, error) {
		res, err := s.client.Service(ctx, addr, a, j.call)
		return serviceOutput{result: res}, err
	})
	took := time.Since(start)
	p.release(took, err)
	if err != nil {
		return nil, err
	}
	s.times.Observe(stageKey(stages[0], 0), took, time.Now())
	return answerOf(&out.result), nil
}

func answerOf(r *upstream.ServiceResult) *command.Answer {
	return &command.Answer{Status: r.Status, ContentType: r.ContentType, Body: r.Body}
}
