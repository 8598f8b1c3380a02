package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"damaskbridge.example/damaskbridge/audit"
	"damaskbridge.example/damaskbridge/callers"
	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/problem"
	"github.com/fxamacker/cbor/v2"
)

// handlerEnv is an entry VM without upstreams and background loops, so that no
// accepted request can run.
type handlerEnv struct {
	server   *Server
	handler  http.Handler
	recorder *fakeRecorder
}

func newHandlerEnv(tb testing.TB) *handlerEnv {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = l.Close() })
	env := &handlerEnv{recorder: newFakeRecorder()}
	control := newFakeControl()
	document := strings.Replace(testDocument(), "deadline.default: 20s", "deadline.default: 1s\n    deadline.max: 1s", 1)
	if r := control.applyDocument("first", document); r.Change == nil || r.Change.State != "accepted" {
		tb.Fatalf("settings: %+v", r.Change)
	}
	env.server, err = NewServer(Options{
		VM: "entry-1", Region: "one", Listen: "127.0.0.1:0", Control: control, Audit: env.recorder,
		MembersURL: "http://" + l.Addr().String() + "/members", Seed: 1,
	})
	if err != nil {
		tb.Fatal(err)
	}
	// Only its address is used.
	if env.server.callers, err = callers.Listen("127.0.0.1:0", http.NotFoundHandler(), env.server.log); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = env.server.callers.Shutdown(context.Background()) })
	session := ids.SessionID{VM: "entry-1", Incarnation: 1}
	open := command.Command{OpenSession: &command.OpenSession{Session: session, Region: "one"}}
	if r, err := control.Propose(context.Background(), ids.SettingsGroup, open); err != nil || r.Code != command.OK {
		tb.Fatalf("open session: %+v, %v", r, err)
	}
	env.server.seq.reset(session)
	env.server.seq.extend(session, 1<<62)
	env.server.subscriber.published.Store(&snapshot{tree: control.machine.Tree(), session: session, lease: settingsLease{until: time.Now().Add(24 * time.Hour)}})
	env.handler = env.server.mux()
	return env
}

// post sends a request to the handler and waits until its end is recorded.
func (env *handlerEnv) post(path string, body []byte, header http.Header) *httptest.ResponseRecorder {
	at := &url.URL{Path: path}
	r := &http.Request{
		Method: http.MethodPost, URL: at, RequestURI: at.EscapedPath(), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Host: "entry", Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)),
	}
	maps.Copy(r.Header, header)
	if r.Header.Get("Authorization") == "" {
		r.Header.Set("Authorization", "Bearer "+testToken)
	}
	w := httptest.NewRecorder()
	env.handler.ServeHTTP(w, r)
	env.server.running.Wait()
	return w
}

// resetRecords drops the records of earlier requests.
func (env *handlerEnv) resetRecords() {
	env.recorder.mu.Lock()
	defer env.recorder.mu.Unlock()
	clear(env.recorder.records)
}

// FuzzCallerRequest guards against request bodies and headers that panic a
// handler, get a response that is not a valid problem, are reported as executed
// although there is no upstream, or leave a gap in the audit log.
func FuzzCallerRequest(f *testing.F) {
	const chat, pipeline, service, other = 0, 1, 2, 3
	f.Add(uint8(chat), "", "", []byte(`{"model":"answer","messages":[{"role":"user","content":"x"}],"max_tokens":-1}`), "", "", "", "", "")
	f.Add(uint8(chat), "", "", []byte(`{"model":"answer","messages":[{}],"stream":true}`), "", "500", "batch", "", "house")
	f.Add(uint8(chat), "", "", []byte(`{"model":"answer","messages":null,"max_completion_tokens":1e99}`), "", "", "", "", "")
	f.Add(uint8(pipeline), "answer", "", []byte(`{"input":"x","stream":true}`), "", "-1", "", "", "")
	f.Add(uint8(pipeline), "\xff", "", []byte(`null`), "", "", "", "", "")
	f.Add(uint8(pipeline), strings.Repeat("a", 70<<10), "", []byte(`{}`), "", "", "", "", "")
	f.Add(uint8(service), "bookings", "book", []byte("x"), "key", "9223372036854775807", "interactive", "text/plain", "")
	f.Add(uint8(service), "bookings", "book", []byte("x"), "\xff\x00\n", "", "", "", "")
	f.Add(uint8(service), "bookings", "lookup", []byte(""), "", "", "", "a\r\nb", "")
	f.Add(uint8(service), "bookings", "a/../b?x", []byte(""), "k", "", "", "", "")
	f.Add(uint8(service), "bookings", "\xff", []byte(""), "01890000-0000-7000-8000-000000000000", "", "", "", "")
	f.Add(uint8(other), "v1/models", "", []byte(""), "", "", "", "", "none\x00")
	env := newHandlerEnv(f)
	f.Fuzz(func(t *testing.T, kind uint8, name, op string, body []byte, key, deadline, priority, contentType, workspace string) {
		env.resetRecords()
		path := "/" + name
		switch kind % 4 {
		case chat:
			path = "/v1/chat/completions"
		case pipeline:
			path = "/v1/pipelines/" + name
		case service:
			path = "/v1/services/" + name + "/" + op
		}
		header := http.Header{}
		for _, h := range [][2]string{{HeaderKey, key}, {HeaderDeadline, deadline}, {HeaderPriority, priority}, {"Content-Type", contentType}, {HeaderWorkspace, workspace}} {
			if h[1] != "" {
				header.Set(h[0], h[1])
			}
		}
		w := env.post(path, body, header)
		if w.Code >= 300 && w.Code < 400 {
			return // the mux redirects the caller to the cleaned path
		}
		checkProblem(t, w)
		env.checkAccounted(t, w.Header().Get(HeaderRequest))
	})
}

// checkProblem checks that a response is a valid problem and that it reports the
// request as not executed.
func checkProblem(t *testing.T, w *httptest.ResponseRecorder) {
	t.Helper()
	var p problem.Problem
	if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil || w.Header().Get("Content-Type") != problem.ContentType {
		t.Fatalf("status %d, body %q: %v", w.Code, w.Body, err)
	}
	if p.Reason.Status() != w.Code || p.Status != w.Code || p.Remedy == "" {
		t.Fatalf("status %d with problem %+v", w.Code, p)
	}
	// This VM cannot know whether an expired key's request was executed.
	if p.Execution != problem.NotRun && p.Reason != problem.KeyExpired {
		t.Fatalf("no request can run, but the problem is %+v", p)
	}
}

// checkAccounted checks that a request with an ID has one begin and one end
// record, and that all its records can be decoded.
func (env *handlerEnv) checkAccounted(t *testing.T, id string) {
	t.Helper()
	if id == "" {
		return
	}
	kinds := map[audit.Kind]int{}
	for _, r := range env.recorder.recordsOf(id) {
		kinds[r.Kind]++
		if err := roundTrip(&r); err != nil {
			t.Fatalf("record %+v: %v", r, err)
		}
	}
	if kinds[audit.Begin] != 1 || kinds[audit.End] != 1 {
		t.Fatalf("request %s has records %v", id, kinds)
	}
}

// roundTrip encodes and decodes a record as the audit log does, and checks that
// its size is far below the audit log's limit of 64 KiB.
func roundTrip(r *audit.Record) error {
	raw, err := cbor.Marshal(r)
	if err != nil {
		return err
	}
	const sizeLimit = 4 << 10
	if len(raw) > sizeLimit {
		return fmt.Errorf("the record has %d bytes", len(raw))
	}
	var back audit.Record
	return cbor.Unmarshal(raw, &back)
}

// FuzzStoredEnd guards against service responses that, stored and replayed, panic
// the response writer or pass for a problem of this system with an execution
// state other than unknown.
func FuzzStoredEnd(f *testing.F) {
	f.Add([]byte(`{"reason":"end_unknown"}`))
	f.Add([]byte(`{"reason":"end_unknown","status":502,"execution_state":"not_run"}`))
	f.Add([]byte(`{"reason":"end_unknown","status":502,"execution_state":"unknown","instance":"a\r\nb"}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		result := storedResult(&command.Answer{Status: problem.OutcomeUnknown.Status(), ContentType: problem.ContentType, Body: body})
		if result.err == nil {
			if !result.replayed || !bytes.Equal(result.answer.Body, body) {
				t.Fatalf("%q is replayed as %+v", body, result)
			}
			return
		}
		p, ok := problem.As(result.err)
		if !ok || p.Execution != problem.Unknown {
			t.Fatalf("%q yields %v", body, result.err)
		}
		p.Write(httptest.NewRecorder())
	})
}
