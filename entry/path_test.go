package entry

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"damaskbridge.example/damaskbridge/audit"
	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/standin"
	"damaskbridge.example/damaskbridge/standin/content"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

const testToken = "test-token"

func testDocument() string {
	sum := sha256.Sum256([]byte(testToken))
	return fmt.Sprintf(`
branches:
  "":
    deadline.default: 20s
    stream.token_gap: 5s
pools:
  - {name: encoders, kind: encode}
  - {name: retrievers, kind: retrieve}
  - {name: rerankers, kind: rerank}
  - {name: engines, kind: generate, checks_fencing: true}
  - {name: bookings, kind: service}
pipelines:
  - name: answer
    stages:
      - {name: encode, kind: encode, pool: encoders}
      - {name: retrieve, kind: retrieve, pool: retrievers}
      - {name: rerank, kind: rerank, pool: rerankers}
      - {name: generate, kind: generate, pool: engines, model: dev-model}
services:
  - {name: bookings, pool: bookings, repeatable_ops: [lookup]}
workspaces:
  - {name: house, branch: guild/house, token_sha256: [%s], pipelines: [answer], services: [bookings]}
`, hex.EncodeToString(sum[:]))
}

var answerStages = []string{content.Encode, content.Retrieve, content.Rerank, content.Generate}

// testEnv is an entry VM in front of a small simulated fleet, with an in-memory
// control VM and audit recorder.
type testEnv struct {
	control  *fakeControl
	recorder *fakeRecorder
	fleet    *standin.Fleet
	server   *Server
	url      string
}

func newTestEnv() *testEnv { return newTestEnvWithFleet(func(*standin.FleetConfig) {}) }

// newTestEnvWithFleet starts an environment whose fleet is changed by configure.
func newTestEnvWithFleet(configure func(*standin.FleetConfig)) *testEnv {
	cfg, err := standin.Preset(standin.PresetDev)
	Expect(err).NotTo(HaveOccurred())
	cfg.TimeScale = 0.2
	configure(&cfg)
	fleet, err := standin.StartFleet(cfg)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(fleet.Close)
	env := &testEnv{control: newFakeControl(), recorder: newFakeRecorder(), fleet: fleet}
	res := env.control.applyDocument("first", testDocument())
	Expect(res.Change).NotTo(BeNil())
	Expect(string(res.Change.State)).To(Equal("accepted"), res.Change.Detail)
	env.server, err = NewServer(Options{
		VM: "entry-1", Region: "one", Listen: "127.0.0.1:0", Control: env.control, Audit: env.recorder,
		MembersURL: fleet.MembersURL(), Seed: 1, DrainDelay: time.Millisecond,
	})
	Expect(err).NotTo(HaveOccurred())
	Expect(env.server.Start()).To(Succeed())
	DeferCleanup(env.server.Close)
	env.url = "http://" + env.server.Addr()
	Eventually(env.server.Ready).WithTimeout(20 * time.Second).Should(Succeed())
	return env
}

// post sends a request and returns the response and its body.
func (env *testEnv) post(path string, body any, header ...string) (*http.Response, []byte) {
	raw, isBytes := body.([]byte)
	if !isBytes {
		var err error
		raw, err = json.Marshal(body)
		Expect(err).NotTo(HaveOccurred())
	}
	req, err := http.NewRequest(http.MethodPost, env.url+path, bytes.NewReader(raw))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+testToken)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	out, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp, out
}

func decodeProblem(raw []byte) problem.Problem {
	var p problem.Problem
	Expect(json.Unmarshal(raw, &p)).To(Succeed(), string(raw))
	return p
}

var _ = Describe("entry VM request handling", func() {
	It("returns the pipeline's output and audits every stage", func() {
		env := newTestEnv()
		resp, raw := env.post("/v1/pipelines/answer", PipelineRequest{Input: "where is the red wig", MaxTokens: 40})
		Expect(resp.StatusCode).To(Equal(http.StatusOK), string(raw))
		var out PipelineResponse
		Expect(json.Unmarshal(raw, &out)).To(Succeed())
		Expect(out.Output).To(Equal(content.Pipeline(answerStages, "where is the red wig", 40)))
		Expect(out.Stages).To(HaveLen(4))
		kinds := map[audit.Kind]int{}
		for _, r := range env.recorder.recordsOf(out.Request) {
			kinds[r.Kind]++
		}
		Expect(kinds[audit.Begin]).To(Equal(1))
		Expect(kinds[audit.Dispatch]).To(BeNumerically(">=", 4))
		Eventually(func() int { return len(env.recorder.recordsOf(out.Request)) }).Should(BeNumerically(">=", 10))
	})

	It("streams every token once, ends with their count, and resumes", func() {
		env := newTestEnv()
		resp, raw := env.post("/v1/pipelines/answer", PipelineRequest{Input: "long report", MaxTokens: 60, Stream: true})
		Expect(resp.StatusCode).To(Equal(http.StatusOK), string(raw))
		tokens, done := readEvents(raw)
		Expect(strings.Join(tokens, "")).To(Equal(content.Pipeline(answerStages, "long report", 60)))
		Expect(done.Complete).To(BeTrue())
		Expect(done.Count).To(Equal(len(tokens)))

		req, err := http.NewRequest(http.MethodGet, resp.Header.Get(HeaderResumeURL), nil)
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+testToken)
		req.Header.Set("Last-Event-ID", "2")
		again, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		rest, err := io.ReadAll(again.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Body.Close()).To(Succeed())
		tail, _ := readEvents(rest)
		Expect(tail).To(Equal(tokens[2:]))
	})

	It("resumes a stream through another entry VM, which the load balancer may choose", func() {
		env := newTestEnv()
		resp, raw := env.post("/v1/pipelines/answer", PipelineRequest{Input: "long report", MaxTokens: 60, Stream: true})
		Expect(resp.StatusCode).To(Equal(http.StatusOK), string(raw))
		tokens, _ := readEvents(raw)
		other, err := NewServer(Options{
			VM: "entry-2", Region: "two", Listen: "127.0.0.1:0", Control: env.control, Audit: env.recorder,
			MembersURL: env.fleet.MembersURL(), Seed: 2,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(other.Start()).To(Succeed())
		DeferCleanup(other.Close)
		Eventually(other.Ready).WithTimeout(20 * time.Second).Should(Succeed())
		get := func(id string) (int, []byte) {
			req, err := http.NewRequest(http.MethodGet, "http://"+other.Addr()+"/v1/streams/"+id, nil)
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Authorization", "Bearer "+testToken)
			req.Header.Set("Last-Event-ID", "3")
			again, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			rest, err := io.ReadAll(again.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(again.Body.Close()).To(Succeed())
			return again.StatusCode, rest
		}
		status, rest := get(resp.Header.Get(HeaderRequest))
		Expect(status).To(Equal(http.StatusOK), string(rest))
		tail, done := readEvents(rest)
		Expect(tail).To(Equal(tokens[3:]))
		Expect(done.Complete).To(BeTrue())
		status, rest = get("entry-1.1.99")
		Expect(status).To(Equal(http.StatusGone))
		Expect(decodeProblem(rest).Reason).To(Equal(problem.ResumeTooOld))
	})

	It("serves an unmodified OpenAI client, with and without streaming", func() {
		env := newTestEnv()
		client := openai.NewClient(option.WithBaseURL(env.url+"/v1"), option.WithAPIKey(testToken))
		params := openai.ChatCompletionNewParams{
			Model:     "answer",
			Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
			MaxTokens: openai.Int(30),
		}
		want := strings.Join(content.ChatTokens(answerStages, []content.Message{{Role: "user", Content: "hello"}}, 30), "")
		whole, err := client.Chat.Completions.New(context.Background(), params)
		Expect(err).NotTo(HaveOccurred())
		Expect(whole.Choices[0].Message.Content).To(Equal(want))
		events := client.Chat.Completions.NewStreaming(context.Background(), params)
		acc := openai.ChatCompletionAccumulator{}
		for events.Next() {
			acc.AddChunk(events.Current())
		}
		Expect(events.Err()).NotTo(HaveOccurred())
		Expect(acc.Choices[0].Message.Content).To(Equal(want))
		models, err := client.Models.List(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(models.Data).To(HaveLen(1))
	})

	It("executes a keyed call once and replays its stored answer", func() {
		env := newTestEnv()
		body := []byte(`{"house":"north","beard":"long"}`)
		first, one := env.post("/v1/services/bookings/book", body, HeaderKey, "key-1")
		Expect(first.StatusCode).To(Equal(http.StatusOK), string(one))
		second, two := env.post("/v1/services/bookings/book", body, HeaderKey, "key-1")
		Expect(second.StatusCode).To(Equal(http.StatusOK), string(two))
		Expect(two).To(Equal(one))
		Expect(second.Header.Get(HeaderReplayed)).To(Equal("true"))
		Expect(env.fleet.Executions("key-1")).To(Equal(1))
		conflict, raw := env.post("/v1/services/bookings/book", []byte(`{}`), HeaderKey, "key-1")
		Expect(conflict.StatusCode).To(Equal(http.StatusUnprocessableEntity))
		Expect(decodeProblem(raw).Reason).To(Equal(problem.KeyConflict))
	})

	It("serves a repeatable operation without a key", func() {
		env := newTestEnv()
		resp, raw := env.post("/v1/services/bookings/lookup", []byte("slot"))
		Expect(resp.StatusCode).To(Equal(http.StatusOK), string(raw))
	})

	It("does not dispatch when the session ends between the claim and the dispatch", func() {
		env := newTestEnv()
		env.control.mu.Lock()
		env.control.onApply = func(c *command.Command, _ *command.Result) {
			if c.Claim != nil {
				// End the session as if the VM had been suspended past its lease.
				end := command.Command{ExpireSession: &command.ExpireSession{Session: c.Claim.Request.Session}}
				raw, _ := command.Encode(&end)
				env.control.index++
				env.control.machine.Apply(env.control.index, raw)
				env.server.subscriber.published.Store(&snapshot{tree: env.server.subscriber.snapshot().tree})
			}
		}
		env.control.mu.Unlock()
		resp, raw := env.post("/v1/services/bookings/book", []byte(`{}`), HeaderKey, "key-2")
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable), string(raw))
		Expect(decodeProblem(raw).Execution).To(Equal(problem.NotRun))
		Expect(env.fleet.Executions("key-2")).To(BeZero())
	})

	It("rejects requests after its settings lease has expired", func() {
		env := newTestEnv()
		env.control.setUnreachable(true)
		Eventually(env.server.Ready).WithTimeout(20 * time.Second).ShouldNot(Succeed())
		resp, raw := env.post("/v1/pipelines/answer", PipelineRequest{Input: "x"})
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(decodeProblem(raw).Reason).To(Equal(problem.SettingsStale))
		env.control.setUnreachable(false)
		Eventually(env.server.Ready).WithTimeout(20 * time.Second).Should(Succeed())
	})

	DescribeTable("rejects bad input before anything runs", func(path, body string, header []string, kind problem.Kind) {
		env := newTestEnv()
		resp, raw := env.post(path, []byte(body), header...)
		p := decodeProblem(raw)
		Expect(p.Reason).To(Equal(kind))
		Expect(resp.StatusCode).To(Equal(kind.Status()))
		Expect(p.Execution).To(Equal(problem.NotRun))
		Expect(p.Remedy).NotTo(BeEmpty())
		Expect(resp.Header.Get("Content-Type")).To(Equal(problem.ContentType))
		Expect(env.fleet.Counters(standin.Selector{}).Executed).To(BeZero())
	},
		Entry("unknown pipeline", "/v1/pipelines/none", `{}`, nil, problem.UnknownPipeline),
		Entry("unknown service", "/v1/services/none/op", `{}`, nil, problem.UnknownService),
		Entry("malformed JSON", "/v1/pipelines/answer", `{"input":`, nil, problem.BadRequest),
		Entry("malformed chat JSON", "/v1/chat/completions", `{`, nil, problem.BadRequest),
		Entry("missing key", "/v1/services/bookings/book", `{}`, nil, problem.KeyMissing),
		Entry("past deadline", "/v1/pipelines/answer", `{}`, []string{HeaderDeadline, "0"}, problem.DeadlinePassed),
		Entry("unknown workspace", "/v1/pipelines/answer", `{}`, []string{HeaderWorkspace, "none"}, problem.UnknownWorkspace),
		Entry("bad token", "/v1/pipelines/answer", `{}`, []string{"Authorization", "Bearer wrong"}, problem.Unauthenticated),
		Entry("body too large", "/v1/pipelines/answer", strings.Repeat(" ", 2<<20), nil, problem.BodyTooLarge),
		Entry("unknown path", "/v2/none", `{}`, nil, problem.NotFound),
	)
})

// readEvents returns the token texts and the done event of a pipeline stream.
func readEvents(raw []byte) (tokens []string, done DoneEvent) {
	name := ""
	lines := bufio.NewScanner(bytes.NewReader(raw))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		if v, ok := strings.CutPrefix(line, "event: "); ok {
			name = v
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		switch name {
		case "token":
			var t TokenEvent
			Expect(json.Unmarshal([]byte(data), &t)).To(Succeed())
			tokens = append(tokens, t.Text)
		case "done":
			Expect(json.Unmarshal([]byte(data), &done)).To(Succeed())
		}
	}
	return tokens, done
}
