package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/standin"
	"damaskbridge.example/damaskbridge/standin/content"
)

// ledger is what fake entry VMs share: the stored responses and what ran.
type ledger struct {
	mu         sync.Mutex
	stored     map[string]string
	ran        map[string]int
	executions map[string]int
}

func newLedger() *ledger {
	return &ledger{stored: map[string]string{}, ran: map[string]int{}, executions: map[string]int{}}
}

func (l *ledger) Settle(context.Context, time.Duration) {}

func (l *ledger) Audit(_ context.Context, q standin.AuditRequest) (standin.AuditResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := standin.AuditResponse{Ran: map[string]int{}, Executions: map[string]int{}}
	for _, id := range q.Requests {
		a.Ran[id] = l.ran[id]
	}
	for _, key := range q.Keys {
		a.Executions[key] = l.executions[key]
	}
	return a, nil
}

// fakeEntry is an entry VM that answers by itself. Its fields make it lie.
type fakeEntry struct {
	name   string
	ledger *ledger
	stages []string

	// before is called before each request.
	before func(r *http.Request)
	// swap answers with the content of another request.
	swap bool
	// cut ends a stream after that many events, resumable or not.
	cut       int
	resumable bool
	// fail ends a stream with that problem.
	fail *problem.Problem
	// runTwice executes each key twice; forget executes none.
	runTwice, forget bool
	// noStore answers a repeated key without the stored response; noMark does
	// not mark a stored response.
	noStore, noMark bool
	// refuse answers not_run; refuseAfter executes before it does, and noID
	// gives no request id.
	refuse            problem.Kind
	refuseAfter, noID bool

	mu      sync.Mutex
	seq     int
	streams map[string][]string
}

func (f *fakeEntry) start() (*httptest.Server, Entry) {
	f.streams = map[string][]string{}
	f.stages = []string{content.Encode, content.Generate}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /v1/pipelines/{name}", f.guard(f.pipeline))
	mux.HandleFunc("POST /v1/chat/completions", f.guard(f.chat))
	mux.HandleFunc("POST /v1/services/{name}/{op}", f.guard(f.service))
	mux.HandleFunc("GET /v1/streams/{request}", f.resume)
	s := httptest.NewServer(mux)
	return s, Entry{Name: f.name, URL: s.URL}
}

func (f *fakeEntry) guard(h func(http.ResponseWriter, *http.Request, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if f.before != nil {
			f.before(r)
		}
		f.mu.Lock()
		f.seq++
		id := fmt.Sprintf("%s.1.%d", f.name, f.seq)
		f.mu.Unlock()
		if !f.noID {
			w.Header().Set("Damask-Request", id)
		}
		if f.refuse != "" {
			if f.refuseAfter {
				f.ledger.mu.Lock()
				f.ledger.ran[id]++
				f.ledger.executions[r.Header.Get("Idempotency-Key")]++
				f.ledger.mu.Unlock()
			}
			problem.New(f.refuse, problem.NotRun, "refused by the test").Write(w)
			return
		}
		h(w, r, id)
	}
}

func (f *fakeEntry) pipeline(w http.ResponseWriter, r *http.Request, id string) {
	var q struct {
		Input     string `json:"input"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}
	_ = json.NewDecoder(r.Body).Decode(&q)
	if f.swap {
		q.Input += " of another"
	}
	tokens := content.PipelineTokens(f.stages, q.Input, q.MaxTokens)
	text := strings.Join(tokens, "")
	stages := []stageInfo{{Name: "draft", Kind: "generate", Attempts: 1, Region: "b", CostUnits: 2}}
	if !q.Stream {
		_ = json.NewEncoder(w).Encode(pipelineBody{Request: id, Output: text, Complete: true, Stages: stages, CrossRegionBytes: 7})
		return
	}
	f.mu.Lock()
	f.streams[id] = tokens
	f.mu.Unlock()
	limit := len(tokens)
	if f.cut > 0 {
		limit = min(f.cut, limit)
	}
	writeTokens(w, tokens, 0, limit)
	if f.fail != nil {
		fmt.Fprintf(w, "id: 9\nevent: error\ndata: %s\n\n", mustJSON(f.fail))
		return
	}
	if f.cut > 0 {
		panic(http.ErrAbortHandler)
	}
	writeDone(w, id, tokens)
}

func (f *fakeEntry) resume(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	tokens, ok := f.streams[r.PathValue("request")]
	f.mu.Unlock()
	after, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if !f.resumable || !ok || err != nil {
		problem.New(problem.ResumeTooOld, problem.Unknown, "no stream").Write(w)
		return
	}
	writeTokens(w, tokens, after, len(tokens))
	writeDone(w, r.PathValue("request"), tokens)
}

func writeTokens(w http.ResponseWriter, tokens []string, first, end int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i < end; i++ {
		fmt.Fprintf(w, "id: %d\nevent: token\ndata: %s\n\n", i+1, mustJSON(map[string]string{"text": tokens[i]}))
	}
	_ = http.NewResponseController(w).Flush()
}

func writeDone(w io.Writer, id string, tokens []string) {
	text := strings.Join(tokens, "")
	fmt.Fprintf(w, "event: done\ndata: %s\n\n", mustJSON(pipelineBody{Request: id, Complete: true, Count: len(tokens), SHA256: content.Digest(text)}))
}

func (f *fakeEntry) chat(w http.ResponseWriter, r *http.Request, _ string) {
	var q struct {
		Messages  []content.Message `json:"messages"`
		MaxTokens int               `json:"max_tokens"`
		Stream    bool              `json:"stream"`
	}
	_ = json.NewDecoder(r.Body).Decode(&q)
	if f.swap {
		q.Messages[0].Content += " of another"
	}
	tokens := content.ChatTokens(f.stages, q.Messages, q.MaxTokens)
	if !q.Stream {
		fmt.Fprintf(w, `{"choices":[{"message":{"content":%s},"finish_reason":"stop"}]}`, mustJSON(strings.Join(tokens, "")))
		return
	}
	if f.cut > 0 {
		tokens = tokens[:min(f.cut, len(tokens))]
	}
	for _, t := range tokens {
		fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%s}}]}\n\n", mustJSON(t))
	}
	if f.fail != nil {
		fmt.Fprintf(w, "data: {\"error\":%s}\n\n", mustJSON(f.fail))
		return
	}
	if f.cut == 0 {
		fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
	}
}

func (f *fakeEntry) service(w http.ResponseWriter, r *http.Request, id string) {
	body, _ := io.ReadAll(r.Body)
	key := r.Header.Get("Idempotency-Key")
	l := f.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if stored, ok := l.stored[key]; ok && key != "" && !f.noStore {
		if !f.noMark {
			w.Header().Set("Damask-Replayed", "true")
		}
		_, _ = io.WriteString(w, stored)
		return
	}
	switch {
	case f.runTwice:
		l.executions[key] += 2
	case !f.forget:
		l.executions[key]++
	}
	l.ran[id]++
	if f.swap {
		body = append(body, '!')
	}
	response := mustJSON(standin.ServiceResponse{
		Service: r.PathValue("name"), Op: r.PathValue("op"), Ticket: id, Executions: 1, Echo: content.ServiceEcho(body),
	})
	l.stored[key] = string(response)
	_, _ = w.Write(response)
}
