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
	sampleInput     = "which sizes of the red wig are free on Saturday"
	sampleMaxTokens = 24
)

// profile returns the deployment's first load profile of kind k.
func (c *checker) profile(k load.Kind) load.Profile {
	for _, p := range c.deployment.Mix {
		if p.Kind == k {
			return p
		}
	}
	return load.Profile{}
}

// pipeline checks the response of a pipeline request.
func (c *checker) pipeline(ctx context.Context) (result, error) {
	p := c.profile(load.KindPipeline)
	r, err := c.post(ctx, 0, "/v1/pipelines/"+p.Target, entry.PipelineRequest{Input: sampleInput, MaxTokens: sampleMaxTokens})
	if err != nil {
		return result{}, err
	}
	if err := r.expectStatus(http.StatusOK); err != nil {
		return result{}, err
	}
	var out entry.PipelineResponse
	if err := json.Unmarshal(r.body, &out); err != nil {
		return result{}, err
	}
	if out.Output != content.Pipeline(p.Stages, sampleInput, sampleMaxTokens) {
		return result{}, fmt.Errorf("unexpected pipeline output: %q", out.Output)
	}
	detail := fmt.Sprintf("%d stages, %d bytes of output", len(out.Stages), len(out.Output))
	return result{requestID: r.requestID, detail: detail, wantOutcome: string(audit.OK)}, nil
}

// stream checks the events of a streamed pipeline request.
func (c *checker) stream(ctx context.Context) (result, error) {
	p := c.profile(load.KindStream)
	r, err := c.post(ctx, 1, "/v1/pipelines/"+p.Target, entry.PipelineRequest{Input: sampleInput, MaxTokens: sampleMaxTokens, Stream: true})
	if err != nil {
		return result{}, err
	}
	if err := r.expectStatus(http.StatusOK); err != nil {
		return result{}, err
	}
	want := content.PipelineTokens(p.Stages, sampleInput, sampleMaxTokens)
	if n := bytes.Count(r.body, []byte("event: token\n")); n != len(want) {
		return result{}, fmt.Errorf("%d token events, want %d", n, len(want))
	}
	if !bytes.Contains(r.body, []byte("event: done\n")) || !bytes.Contains(r.body, []byte(`"complete":true`)) {
		return result{}, fmt.Errorf("stream has no complete done event: %s", r.body)
	}
	return result{requestID: r.requestID, detail: fmt.Sprintf("%d tokens and the end", len(want)), wantOutcome: string(audit.OK)}, nil
}

// chat checks the response of a chat completion request.
func (c *checker) chat(ctx context.Context) (result, error) {
	p := c.profile(load.KindChat)
	messages := []upstream.Message{{Role: "user", Content: sampleInput}}
	r, err := c.post(ctx, 2, "/v1/chat/completions", entry.ChatRequest{Model: p.Target, Messages: messages, MaxTokens: sampleMaxTokens})
	if err != nil {
		return result{}, err
	}
	if err := r.expectStatus(http.StatusOK); err != nil {
		return result{}, err
	}
	var out entry.ChatResponse
	if err := json.Unmarshal(r.body, &out); err != nil {
		return result{}, err
	}
	want := strings.Join(content.ChatTokens(p.Stages, []content.Message{{Role: "user", Content: sampleInput}}, sampleMaxTokens), "")
	if len(out.Choices) != 1 || out.Choices[0].Message.Content != want {
		return result{}, fmt.Errorf("unexpected completion: %s", r.body)
	}
	return result{requestID: r.requestID, detail: fmt.Sprintf("%d completion tokens", out.Usage.CompletionTokens), wantOutcome: string(audit.OK)}, nil
}

// lookup checks that a service answers a read operation.
func (c *checker) lookup(ctx context.Context) (result, error) {
	p := c.profile(load.KindLookup)
	r, err := c.post(ctx, 0, "/v1/services/"+p.Target+"/"+p.Op, sampleInput)
	if err != nil {
		return result{}, err
	}
	return result{requestID: r.requestID, detail: "answered", wantOutcome: string(audit.OK)}, r.expectStatus(http.StatusOK)
}

// duplicateBooking sends one booking, under one idempotency key, to two entry
// VMs. It must run once, and the second response must be a replay of the first.
func (c *checker) duplicateBooking(ctx context.Context) (result, error) {
	p := c.profile(load.KindBooking)
	key := fmt.Sprintf("sample-%d", time.Now().UnixNano())
	path := "/v1/services/" + p.Target + "/" + p.Op
	first, err := c.post(ctx, 0, path, sampleInput, entry.HeaderKey, key)
	if err != nil {
		return result{}, err
	}
	second, err := c.post(ctx, 1, path, sampleInput, entry.HeaderKey, key)
	if err != nil {
		return result{}, err
	}
	if err := first.expectStatus(http.StatusOK); err != nil {
		return result{}, err
	}
	if err := second.expectStatus(http.StatusOK); err != nil {
		return result{}, err
	}
	if !bytes.Equal(first.body, second.body) || second.header.Get(entry.HeaderReplayed) != "true" {
		return result{}, fmt.Errorf("second response is not a replay of the first: %s and %s", first.body, second.body)
	}
	if n := c.cluster.Fleet.Executions(key); n != 1 {
		return result{}, fmt.Errorf("booking ran %d times, want 1", n)
	}
	return result{requestID: first.requestID, detail: "ran once, both callers got its answer", wantOutcome: string(audit.OK)}, nil
}

// lateAnswer slows every upstream down and sends a request with a deadline of
// 300 ms, which must expire.
func (c *checker) lateAnswer(ctx context.Context) (result, error) {
	p := c.profile(load.KindPipeline)
	slow := standin.Fault{Kind: standin.FaultSlow, Factor: 50}
	if err := c.cluster.Fleet.Fault(standin.Selector{}, slow); err != nil {
		return result{}, err
	}
	defer func() {
		_ = c.cluster.Fleet.Fault(standin.Selector{}, standin.Fault{Kind: standin.FaultSlow, Factor: 1})
	}()
	r, err := c.post(ctx, 0, "/v1/pipelines/"+p.Target, entry.PipelineRequest{Input: sampleInput, MaxTokens: sampleMaxTokens}, entry.HeaderDeadline, "300")
	if err != nil {
		return result{}, err
	}
	if err := r.expectStatus(http.StatusGatewayTimeout); err != nil {
		return result{}, err
	}
	prob, err := r.decodeProblem()
	if err != nil {
		return result{}, err
	}
	detail := fmt.Sprintf("refused as %s, execution %s", prob.Reason, prob.Execution)
	return result{requestID: r.requestID, detail: detail, wantOutcome: string(audit.Expired)}, nil
}

// unknownPipeline checks that a request for a pipeline that does not exist is
// refused without being run.
func (c *checker) unknownPipeline(ctx context.Context) (result, error) {
	r, err := c.post(ctx, 0, "/v1/pipelines/none", entry.PipelineRequest{Input: sampleInput})
	if err != nil {
		return result{}, err
	}
	prob, err := r.decodeProblem()
	if err != nil {
		return result{}, err
	}
	if prob.Reason != problem.UnknownPipeline || prob.Execution != problem.NotRun {
		return result{}, fmt.Errorf("unexpected problem %s, execution %s", prob.Reason, prob.Execution)
	}
	return result{requestID: r.requestID, detail: "refused, not_run", wantOutcome: string(audit.Rejected)}, nil
}

// checkAudit reads the audit log until it has the end of the request, and checks
// its outcome and consistency.
func (c *checker) checkAudit(ctx context.Context, r *result) error {
	const maxPolls, pollInterval = 100, 50 * time.Millisecond
	var got admin.RequestAuditReply
	for range maxPolls {
		if err := c.cluster.OperatorClient().Get(ctx, "/v1/audit/requests/"+r.requestID, nil, &got); err != nil {
			return err
		}
		if got.Summary.End != nil {
			break
		}
		time.Sleep(pollInterval)
	}
	summary := &got.Summary
	if summary.End == nil || string(summary.Outcome) != r.wantOutcome {
		return fmt.Errorf("audit log of request %s: outcome %q, want %q", r.requestID, summary.Outcome, r.wantOutcome)
	}
	if len(summary.Contradictions) > 0 {
		return fmt.Errorf("audit log of request %s has contradictory records: %v", r.requestID, summary.Contradictions)
	}
	r.auditSummary = fmt.Sprintf("%s %s, outcome %s, execution %s, %d attempts", r.requestID, summary.Verdict, summary.Outcome, summary.Execution, len(summary.Attempts))
	return nil
}
