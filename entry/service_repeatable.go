package entry

import (
	"context"
	"net/http"
	"time"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/upstream"
)

// serviceOutput is the response of a plain service to one attempt.
type serviceOutput struct {
	result upstream.ServiceResult
}

func (o serviceOutput) wireBytes() int                  { return o.result.WireBytes }
func (o serviceOutput) latency() time.Duration          { return 0 }
func (o serviceOutput) loadReport() upstream.LoadReport { return o.result.Load }

// serveRepeatable makes a call that may be sent more than once.
func (s *Server) serveRepeatable(w http.ResponseWriter, r *http.Request, job *serviceJob) error {
	s.running.Add(1)
	defer s.running.Done()
	ctx, release := s.untilDrainOver(r.Context())
	defer release()
	ctx, cancel := context.WithDeadline(ctx, job.req.deadline)
	defer cancel()
	a, err := s.callRepeatable(ctx, job)
	if err != nil {
		return s.failRequest(job.req, s.executionProblem(ctx, job.req, err))
	}
	job.req.recordEnd(a.Body, nil)
	s.counters.countAnswer("service", job.req.workspace.Name)
	writeAnswer(w, a)
	return nil
}

// callRepeatable admits the call and makes its attempts.
func (s *Server) callRepeatable(ctx context.Context, job *serviceJob) (*command.Answer, error) {
	stages := []settings.Stage{job.stage()}
	if err := s.checkFeasible(job.req, stages, 0); err != nil {
		return nil, err
	}
	if err := job.req.recordBegin(ctx); err != nil {
		return nil, err
	}
	plan := s.planner.Plan(latencyKeys(stages, 0), time.Until(job.req.deadline), time.Now())
	slot, err := s.admit(ctx, job.req, job.svc.Pool, plan.Need)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	out, err := runAttempts(ctx, s, job.req, stages[0], stageParams{grant: plan.Grants[0], bytes: int64(len(job.call.Body))}, &StageReport{}, func(ctx context.Context, addr string, a upstream.Attempt, _ signalFunc) (serviceOutput, error) {
		res, err := s.client.Service(ctx, addr, a, job.call)
		return serviceOutput{result: res}, err
	})
	took := time.Since(start)
	slot.release(took, err)
	if err != nil {
		return nil, err
	}
	s.planner.Observe(latencyKey(stages[0], 0), took, time.Now())
	return toAnswer(&out.result), nil
}

func toAnswer(r *upstream.ServiceResult) *command.Answer {
	return &command.Answer{Status: r.Status, ContentType: r.ContentType, Body: r.Body}
}
