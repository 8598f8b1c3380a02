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
	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/problem"
	"github.com/fxamacker/cbor/v2"
)

// handlerBench is an entry VM without a fleet and without its loops: nothing
// that it accepts can run.
type handlerBench struct {
	server   *Server
	handler  http.Handler
	recorder *fakeRecorder
}

func newHandlerBench(tb testing.TB) *handlerBench {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = l.Close() })
	b := &handlerBench{recorder: newFakeRecorder()}
	control := newFakeControl()
	document := strings.Replace(testDocument(), "deadline.default: 20s", "deadline.default: 1s\n    deadline.max: 1s", 1)
	if r := control.apply("first", document); r.Change == nil || r.Change.State != "accepted" {
		tb.Fatalf("settings: %+v", r.Change)
	}
	b.server, err = NewServer(Options{
		VM: "entry-1", Region: "one", Listen: "127.0.0.1:0", Control: control, Audit: b.recorder,
		MembersURL: "http://" + l.Addr().String() + "/members", Seed: 1,
	})
	if err != nil {
		tb.Fatal(err)
	}
	b.server.listener = l
	session := ids.SessionID{VM: "entry-1", Incarnation: 1}
	open := command.Command{OpenSession: &command.OpenSession{Session: session, Region: "one"}}
	if r, err := control.Propose(context.Background(), ids.SettingsGroup, open); err != nil || r.Code != command.OK {
		tb.Fatalf("open session: %+v, %v", r, err)
	}
	b.server.seq.open(session)
	b.server.seq.extend(session, 1<<62)
	b.server.sub.published.Store(&snapshot{tree: control.machine.Tree(), session: session, lease: lease{until: time.Now().Add(24 * time.Hour)}})
	b.handler = b.server.mux()
	return b
}

// post sends a request to the handler and waits until it is accounted for.
func (b *handlerBench) post(path string, body []byte, header http.Header) *httptest.ResponseRecorder {
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
	b.handler.ServeHTTP(w, r)
	b.server.running.Wait()
	return w
}

// forget drops the records of earlier requests.
func (b *handlerBench) forget() {
	b.recorder.mu.Lock()
	defer b.recorder.mu.Unlock()
	clear(b.recorder.records)
}

// FuzzCallerRequest guards against a body or header that panics a handler, that
// gets an answer that is no valid problem, that is said to have run although
// there is no upstream, or that leaves a hole in the audit log.
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
	b := newHandlerBench(f)
	f.Fuzz(func(t *testing.T, kind uint8, name, op string, body []byte, key, deadline, priority, contentType, workspace string) {
		b.forget()
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
		w := b.post(path, body, header)
		if w.Code >= 300 && w.Code < 400 {
			return // the mux sends the caller to the clean form of the path
		}
		checkProblem(t, w)
		b.checkAccounted(t, w.Header().Get(HeaderRequest))
	})
}

// checkProblem checks that a response is a valid problem of a request of which
// nothing ran.
func checkProblem(t *testing.T, w *httptest.ResponseRecorder) {
	t.Helper()
	var p problem.Problem
	if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil || w.Header().Get("Content-Type") != problem.ContentType {
		t.Fatalf("status %d, body %q: %v", w.Code, w.Body, err)
	}
	if p.Reason.Status() != w.Code || p.Status != w.Code || p.Remedy == "" {
		t.Fatalf("status %d with problem %+v", w.Code, p)
	}
	// What an expired key was used for is not known to this VM.
	if p.Execution != problem.NotRun && p.Reason != problem.KeyExpired {
		t.Fatalf("nothing can run and the problem says %+v", p)
	}
}

// checkAccounted checks that a request with an id has one begin and one end
// record, each of which can be read back.
func (b *handlerBench) checkAccounted(t *testing.T, id string) {
	t.Helper()
	if id == "" {
		return
	}
	kinds := map[audit.Kind]int{}
	for _, r := range b.recorder.of(id) {
		kinds[r.Kind]++
		if err := readBack(&r); err != nil {
			t.Fatalf("record %+v: %v", r, err)
		}
	}
	if kinds[audit.Begin] != 1 || kinds[audit.End] != 1 {
		t.Fatalf("request %s has records %v", id, kinds)
	}
}

// readBack encodes and decodes a record as the audit log does, and checks that
// it is far below the audit log's limit of 64 KiB.
func readBack(r *audit.Record) error {
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

// FuzzStoredEnd guards against a service's response that, stored and repeated,
// panics the response writer or passes for a problem of this system with
// another execution state than unknown.
func FuzzStoredEnd(f *testing.F) {
	f.Add([]byte(`{"reason":"end_unknown"}`))
	f.Add([]byte(`{"reason":"end_unknown","status":502,"execution_state":"not_run"}`))
	f.Add([]byte(`{"reason":"end_unknown","status":502,"execution_state":"unknown","instance":"a\r\nb"}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		end := storedEnd(&command.Answer{Status: problem.EndUnknown.Status(), ContentType: problem.ContentType, Body: body})
		if end.err == nil {
			if !end.replayed || !bytes.Equal(end.answer.Body, body) {
				t.Fatalf("%q is repeated as %+v", body, end)
			}
			return
		}
		p, ok := problem.As(end.err)
		if !ok || p.Execution != problem.Unknown {
			t.Fatalf("%q gives %v", body, end.err)
		}
		p.Write(httptest.NewRecorder())
	})
}
