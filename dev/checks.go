package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"damaskbridge.example/damaskbridge/admin"
	"damaskbridge.example/damaskbridge/audit"
	"damaskbridge.example/damaskbridge/entry"
	"damaskbridge.example/damaskbridge/load"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/standin"
	"damaskbridge.example/damaskbridge/standin/content"
	"damaskbridge.example/damaskbridge/upstream"
)

const (
	sampleInput  = "which sizes of the red wig are free on Saturday"
	sampleTokens = 24
)

// profile gives the first profile of a kind.
func (s *sampler) profile(k load.Kind) load.Profile {
	for _, p := range s.d.Mix {
		if p.Kind == k {
			return p
		}
	}
	return load.Profile{}
}

func (s *sampler) pipeline(ctx context.Context) (result, error) {
	p := s.profile(load.KindPipeline)
	r, err := s.post(ctx, 0, "/v1/pipelines/"+p.Target, entry.PipelineRequest{Input: sampleInput, MaxTokens: sampleTokens})
	if err != nil {
		return result{}, err
	}
	if err := r.want(http.StatusOK); err != nil {
		return result{}, err
	}
	var out entry.PipelineResponse
	if err := json.Unmarshal(r.body, &out); err != nil {
		return result{}, err
	}
	if out.Output != content.Pipeline(p.Stages, sampleInput, sampleTokens) {
		return result{}, fmt.Errorf("output is not that of the request: %q", out.Output)
	}
	detail := fmt.Sprintf("%d stages, %d bytes of output", len(out.Stages), len(out.Output))
	return result{request: r.request, detail: detail, outcome: string(audit.OK)}, nil
}

func (s *sampler) stream(ctx context.Context) (result, error) {
	p := s.profile(load.KindStream)
	r, err := s.post(ctx, 1, "/v1/pipelines/"+p.Target, entry.PipelineRequest{Input: sampleInput, MaxTokens: sampleTokens, Stream: true})
	if err != nil {
		return result{}, err
	}
	if err := r.want(http.StatusOK); err != nil {
		return result{}, err
	}
	want := content.PipelineTokens(p.Stages, sampleInput, sampleTokens)
	if n := bytes.Count(r.body, []byte("event: token\n")); n != len(want) {
		return result{}, fmt.Errorf("%d token events, want %d", n, len(want))
	}
	if !bytes.Contains(r.body, []byte("event: done\n")) || !bytes.Contains(r.body, []byte(`"complete":true`)) {
		return result{}, fmt.Errorf("the stream has no end: %s", r.body)
	}
	return result{request: r.request, detail: fmt.Sprintf("%d tokens and the end", len(want)), outcome: string(audit.OK)}, nil
}

func (s *sampler) chat(ctx context.Context) (result, error) {
	p := s.profile(load.KindChat)
	messages := []upstream.Message{{Role: "user", Content: sampleInput}}
	r, err := s.post(ctx, 2, "/v1/chat/completions", entry.ChatRequest{Model: p.Target, Messages: messages, MaxTokens: sampleTokens})
	if err != nil {
		return result{}, err
	}
	if err := r.want(http.StatusOK); err != nil {
		return result{}, err
	}
	var out entry.ChatResponse
	if err := json.Unmarshal(r.body, &out); err != nil {
		return result{}, err
	}
	want := strings.Join(content.ChatTokens(p.Stages, []content.Message{{Role: "user", Content: sampleInput}}, sampleTokens), "")
	if len(out.Choices) != 1 || out.Choices[0].Message.Content != want {
		return result{}, fmt.Errorf("completion is not that of the request: %s", r.body)
	}
	return result{request: r.request, detail: fmt.Sprintf("%d completion tokens", out.Usage.CompletionTokens), outcome: string(audit.OK)}, nil
}

func (s *sampler) lookup(ctx context.Context) (result, error) {
	p := s.profile(load.KindLookup)
	r, err := s.post(ctx, 0, "/v1/services/"+p.Target+"/"+p.Op, sampleInput)
	if err != nil {
		return result{}, err
	}
	return result{request: r.request, detail: "answered", outcome: string(audit.OK)}, r.want(http.StatusOK)
}

// bookingTwice sends one booking to two entry VMs. It must run once.
func (s *sampler) bookingTwice(ctx context.Context) (result, error) {
	p := s.profile(load.KindBooking)
	key := fmt.Sprintf("sample-%d", time.Now().UnixNano())
	path := "/v1/services/" + p.Target + "/" + p.Op
	first, err := s.post(ctx, 0, path, sampleInput, entry.HeaderKey, key)
	if err != nil {
		return result{}, err
	}
	second, err := s.post(ctx, 1, path, sampleInput, entry.HeaderKey, key)
	if err != nil {
		return result{}, err
	}
	if err := first.want(http.StatusOK); err != nil {
		return result{}, err
	}
	if err := second.want(http.StatusOK); err != nil {
		return result{}, err
	}
	if !bytes.Equal(first.body, second.body) || second.header.Get(entry.HeaderReplayed) != "true" {
		return result{}, fmt.Errorf("the repeat got another answer: %s and %s", first.body, second.body)
	}
	if n := s.c.Fleet.Executions(key); n != 1 {
		return result{}, fmt.Errorf("the booking ran %d times", n)
	}
	return result{request: first.request, detail: "ran once, both callers got its answer", outcome: string(audit.OK)}, nil
}

// late makes every engine slow and asks with a short deadline.
func (s *sampler) late(ctx context.Context) (result, error) {
	p := s.profile(load.KindPipeline)
	slow := standin.Fault{Kind: standin.FaultSlow, Factor: 50}
	if err := s.c.Fleet.Fault(standin.Selector{}, slow); err != nil {
		return result{}, err
	}
	defer func() { _ = s.c.Fleet.Fault(standin.Selector{}, standin.Fault{Kind: standin.FaultSlow, Factor: 1}) }()
	r, err := s.post(ctx, 0, "/v1/pipelines/"+p.Target, entry.PipelineRequest{Input: sampleInput, MaxTokens: sampleTokens}, entry.HeaderDeadline, "300")
	if err != nil {
		return result{}, err
	}
	if err := r.want(http.StatusGatewayTimeout); err != nil {
		return result{}, err
	}
	prob, err := r.problem()
	if err != nil {
		return result{}, err
	}
	detail := fmt.Sprintf("refused as %s, execution %s", prob.Reason, prob.Execution)
	return result{request: r.request, detail: detail, outcome: string(audit.Expired)}, nil
}

func (s *sampler) unknownPipeline(ctx context.Context) (result, error) {
	r, err := s.post(ctx, 0, "/v1/pipelines/none", entry.PipelineRequest{Input: sampleInput})
	if err != nil {
		return result{}, err
	}
	prob, err := r.problem()
	if err != nil {
		return result{}, err
	}
	if prob.Reason != problem.UnknownPipeline || prob.Execution != problem.NotRun {
		return result{}, fmt.Errorf("problem %s, execution %s", prob.Reason, prob.Execution)
	}
	return result{request: r.request, detail: "refused, not_run", outcome: string(audit.Rejected)}, nil
}

// account asks the audit log about the request until its end is durable.
func (s *sampler) account(ctx context.Context, r *result) error {
	const tries, pause = 100, 50 * time.Millisecond
	var got admin.RequestAccount
	for range tries {
		if err := s.c.Operator().Get(ctx, "/v1/audit/requests/"+r.request, nil, &got); err != nil {
			return err
		}
		if got.Summary.End != nil {
			break
		}
		time.Sleep(pause)
	}
	sum := &got.Summary
	if sum.End == nil || string(sum.Outcome) != r.outcome {
		return fmt.Errorf("audit of %s: outcome %q, want %q", r.request, sum.Outcome, r.outcome)
	}
	if len(sum.Contradictions) > 0 {
		return fmt.Errorf("audit of %s contradicts itself: %v", r.request, sum.Contradictions)
	}
	r.verdict = fmt.Sprintf("%s %s, outcome %s, execution %s, %d attempts", r.request, sum.Verdict, sum.Outcome, sum.Execution, len(sum.Attempts))
	return nil
}
