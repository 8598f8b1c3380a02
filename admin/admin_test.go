package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/keys"
	"damaskbridge.example/damaskbridge/machine"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/settings"
)

func TestAdmin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admin")
}

// fakeBackend applies commands to a local state machine without replication.
type fakeBackend struct {
	mu      sync.Mutex
	machine *machine.Machine
	index   uint64
	// nextOutcome returns what happens to the next proposal.
	nextOutcome func() proposalOutcome
	query       AuditQuery
}

// proposalOutcome is what happens to a proposal and its reply.
type proposalOutcome int

const (
	delivered proposalOutcome = iota
	requestLost
	replyLost
	appliedTwice
)

var errNoReply = errors.New("the leader did not answer in time")

func newFakeBackend() *fakeBackend {
	return &fakeBackend{machine: machine.New(), nextOutcome: func() proposalOutcome { return delivered }}
}

func (b *fakeBackend) Propose(_ context.Context, c command.Command) (command.Result, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	outcome := b.nextOutcome()
	if outcome == requestLost {
		return command.Result{}, errNoReply
	}
	data, err := command.Encode(&c)
	if err != nil {
		return command.Result{}, err
	}
	b.index++
	r := b.machine.Apply(b.index, data)
	if outcome == appliedTwice {
		b.index++
		r = b.machine.Apply(b.index, data)
	}
	if outcome == replyLost {
		return command.Result{}, errNoReply
	}
	return r, nil
}

func (b *fakeBackend) Tree(context.Context) (*settings.Tree, time.Duration, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.machine.Tree(), 7 * time.Millisecond, nil
}

func (b *fakeBackend) WaitInEffect(ctx context.Context, version uint64) (uint64, error) {
	b.mu.Lock()
	now := b.machine.Tree().Version()
	b.mu.Unlock()
	if now >= version {
		return now, nil
	}
	<-ctx.Done()
	return now, ctx.Err()
}

func (b *fakeBackend) Status(context.Context) (Status, error) {
	return Status{VM: "c1", Leader: "c1", Entries: []EntryStatus{{VM: "e1", SettingsVersion: 3}}}, nil
}

func (b *fakeBackend) Drain(_ context.Context, vm ids.VMID) error {
	if vm != "e1" {
		return problem.New(problem.NotFound, problem.NotRun, "no session of %s is open", vm)
	}
	return nil
}

func (b *fakeBackend) Audit(_ context.Context, q AuditQuery) (AuditReply, error) {
	b.query = q
	return AuditReply{Records: []json.RawMessage{json.RawMessage(`{"kind":"begin"}`)}, Missing: []ids.VMID{"c2"}}, nil
}

const testToken = "operator-token"

func newAPI(b Backend) *API {
	operators, err := NewOperators([]Operator{{Name: "ada", TokenSHA256: []string{keys.TokenDigest(testToken)}}})
	if err != nil {
		panic(err)
	}
	return New(b, operators)
}

// send sends a request with the operator token and decodes the reply into out.
func send(a *API, method, target, contentType, body string, out any) int {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testToken)
	r.Header.Set("Content-Type", contentType)
	w := httptest.NewRecorder()
	a.ServeHTTP(w, r)
	if err := json.Unmarshal(w.Body.Bytes(), out); err != nil {
		panic(err)
	}
	return w.Code
}

const deadlineOp = `{"kind":"set","branch":"guild","key":"deadline.default","value":"4s"}`

var _ = Describe("operators' API", func() {
	var b *fakeBackend
	var a *API
	var p problem.Problem
	BeforeEach(func() {
		b = newFakeBackend()
		a = newAPI(b)
		p = problem.Problem{}
	})
	post := func(body string, out any) int {
		return send(a, "POST", "/v1/changes", "application/json", body, out)
	}

	It("rejects requests without a valid operator token", func() {
		for _, header := range []string{"", "Bearer ", "Bearer wrong", "Basic " + testToken, testToken} {
			r := httptest.NewRequest("GET", "/v1/version", nil)
			r.Header.Set("Authorization", header)
			w := httptest.NewRecorder()
			a.ServeHTTP(w, r)
			Expect(w.Code).To(Equal(http.StatusUnauthorized), header)
			Expect(w.Header().Get("Content-Type")).To(Equal(problem.ContentType))
		}
		var counters strings.Builder
		a.WriteMetrics(&counters)
		Expect(counters.String()).To(ContainSubstring(`damask_admin_problems_total{reason="unauthenticated"} 5`))
		named, err := NewOperatorsFromDigests([]string{keys.TokenDigest(testToken)})
		Expect(err).NotTo(HaveOccurred())
		name, _ := named.lookupHeader("Bearer " + testToken)
		Expect(name).To(Equal("token-" + keys.TokenDigest(testToken)[:8]))
		_, err = NewOperators([]Operator{{Name: "a", TokenSHA256: []string{"x"}}})
		Expect(err).To(MatchError(ContainSubstring("64 hex digits")))
	})

	It("applies a resent change once and returns the winner of a conflict", func() {
		var ok ChangeReply
		body := `{"id":"c1","base":0,"ops":[` + deadlineOp + `]}`
		for range 2 {
			Expect(post(body, &ok)).To(Equal(200))
			Expect(ok.Version).To(Equal(uint64(1)))
		}
		Expect(post(`{"id":"c2","base":0,"ops":[`+deadlineOp+`]}`, &p)).To(Equal(409))
		var winner settings.Change
		Expect(json.Unmarshal(p.Winner, &winner)).To(Succeed())
		Expect(winner.ID).To(Equal("c1"))
		Expect(winner.Operator).To(Equal("ada"))
		Expect(send(a, "GET", "/v1/changes/c1", "", "", &ok)).To(Equal(200))
		Expect(send(a, "GET", "/v1/changes/c2", "", "", &p)).To(Equal(409))
		Expect(send(a, "GET", "/v1/changes/c3", "", "", &p)).To(Equal(404))
	})

	It("returns the first result for a resent document", func() {
		var ok ChangeReply
		doc := "branches:\n  guild:\n    deadline.default: 4s\n"
		for range 2 {
			Expect(send(a, "POST", "/v1/changes?id=d1&base=0&file=g.yaml", "application/yaml", doc, &ok)).To(Equal(200))
			Expect(ok.Version).To(Equal(uint64(1)))
		}
		Expect(send(a, "POST", "/v1/changes?id=d2&base=0", "application/yaml", doc, &p)).To(Equal(409))
		Expect(send(a, "POST", "/v1/changes?id=d3&base=1", "application/yaml", doc, &ok)).To(Equal(200))
		Expect(ok.Detail).To(ContainSubstring("changes nothing"))
		Expect(send(a, "POST", "/v1/changes?id=d4&base=9", "application/yaml", doc, &p)).To(Equal(400))
	})

	DescribeTable("rejects invalid requests", func(contentType, target, body string, status int, detail string) {
		Expect(send(a, "POST", target, contentType, body, &p)).To(Equal(status))
		Expect(p.Detail).To(ContainSubstring(detail))
		Expect(p.Execution).To(Equal(problem.NotRun))
	},
		Entry("unknown field", "application/json", "/v1/changes", `{"nid":"x"}`, 400, "nid"),
		Entry("no base", "application/json", "/v1/changes", `{"id":"x"}`, 400, "base"),
		Entry("no id", "application/yaml", "/v1/changes?base=1", "", 400, "id and base"),
		Entry("another content type", "text/plain", "/v1/changes", "", 400, "application/yaml"),
		Entry("invalid operation", "application/json", "/v1/changes", `{"id":"x","base":0,"ops":[{"kind":"set","key":"x","value":"1"}]}`, 422, "not known"),
		Entry("invalid document", "application/yaml", "/v1/changes?id=x&base=0&file=f.yaml", "pools:\n- {name: a, kind: b}\n", 422, `f.yaml:2: pool "a"`),
		Entry("invalid document in a diff", "application/yaml", "/v1/diff?file=f.yaml", "pools: 5\n", 422, "f.yaml:1:"),
		Entry("unknown path", "", "/v2", "", 404, "/v2"),
		Entry("body over the limit", "application/json", "/v1/changes", strings.Repeat(" ", MaxBodyBytes+1), 413, "larger"),
		Entry("drain of an unknown VM", "", "/v1/entries/e9/drain", "", 404, "e9"),
	)

	It("reports the execution state of a change without a reply as unknown", func() {
		b.nextOutcome = func() proposalOutcome { return replyLost }
		Expect(post(`{"id":"c1","base":0,"ops":[`+deadlineOp+`]}`, &p)).To(Equal(503))
		Expect(p.Execution).To(Equal(problem.Unknown))
		Expect(p.Remedy).To(ContainSubstring("same change id"))
	})

	It("serves effective values, objects, history, versions in effect, status and audit records", func() {
		var ok ChangeReply
		post(`{"id":"c1","base":0,"ops":[`+deadlineOp+`]}`, &ok)
		post(`{"id":"c2","base":1,"ops":[{"kind":"put_pool","pool":{"name":"p","kind":"encode"}}]}`, &ok)
		var e EffectiveReply
		Expect(send(a, "GET", "/v1/effective?branch=guild/w&key=deadline.default", "", "", &e)).To(Equal(200))
		Expect(e.Values).To(HaveLen(1))
		Expect(e.Values[0].EffectiveValue).To(Equal(settings.EffectiveValue{Value: "4s", Branch: "guild", Version: 1}))
		Expect(e.AgeMS).To(Equal(int64(7)))
		Expect(send(a, "GET", "/v1/effective", "", "", &e)).To(Equal(200))
		Expect(e.Values).To(HaveLen(len(settings.Specs())))
		Expect(send(a, "GET", "/v1/effective?key=x", "", "", &p)).To(Equal(400))
		var pool settings.Pool
		Expect(send(a, "GET", "/v1/objects/pool/p", "", "", &pool)).To(Equal(200))
		Expect(pool.Kind).To(Equal(settings.KindEncode))
		Expect(send(a, "GET", "/v1/objects/service/p", "", "", &p)).To(Equal(404))
		var h HistoryReply
		Expect(send(a, "GET", "/v1/history?limit=1", "", "", &h)).To(Equal(200))
		Expect(h.Changes).To(HaveLen(1))
		Expect(h.Before).To(Equal(uint64(1)))
		Expect(send(a, "GET", "/v1/history?before=1", "", "", &h)).To(Equal(200))
		Expect(h.Changes[0].ID).To(Equal("c1"))
		var in InEffectReply
		Expect(send(a, "GET", "/v1/in-effect?version=2", "", "", &in)).To(Equal(200))
		Expect(in).To(Equal(InEffectReply{Done: true, InEffect: 2}))
		Expect(send(a, "GET", "/v1/in-effect?version=3&wait_ms=1", "", "", &in)).To(Equal(200))
		Expect(in).To(Equal(InEffectReply{InEffect: 2}))
		Expect(send(a, "GET", "/v1/in-effect?wait_ms=99999999", "", "", &p)).To(Equal(400))
		var s Status
		Expect(send(a, "GET", "/v1/status", "", "", &s)).To(Equal(200))
		Expect(s.Leader).To(BeEquivalentTo("c1"))
		var audit AuditReply
		Expect(send(a, "GET", "/v1/audit?request=e1.1.5&limit=3&from=2026-01-31T08:00:00Z", "", "", &audit)).To(Equal(200))
		Expect(b.query.Limit).To(Equal(3))
		Expect(b.query.From.IsZero()).To(BeFalse())
		Expect(audit.Complete).To(BeFalse())
		Expect(send(a, "GET", "/v1/audit?request=e1", "", "", &p)).To(Equal(400))
	})
})
