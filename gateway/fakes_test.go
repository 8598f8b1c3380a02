package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"damaskbridge.example/damaskbridge/advice"
	"damaskbridge.example/damaskbridge/batch"
	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/directory"
	"damaskbridge.example/damaskbridge/exchange"
	"damaskbridge.example/damaskbridge/execution"
	"damaskbridge.example/damaskbridge/placement"
	"damaskbridge.example/damaskbridge/transport"
)

// reply describes how a fake runner handles one request.
type reply struct {
	status      int
	body        string
	notExecuted bool
	misdirected bool
	// notSent fails the exchange before the request is sent, lost after that.
	notSent bool
	lost    bool
	// cut makes the body end with an error after its bytes.
	cut bool
	// endless is what the body goes on with, with a pause before each part.
	endless *repeating
	pause   time.Duration
	// silentUntil makes the body fall silent after its bytes, until the channel is
	// closed; rest follows.
	silentUntil <-chan struct{}
	rest        string
	// advice is what the answer says about later requests.
	advice advice.Advice
	// unsigned leaves out the runner's signature.
	unsigned bool
	// encoded marks the body as one with a content encoding.
	encoded bool
	// header holds further headers of the answer.
	header http.Header
	// ended is closed when the gateway ends the exchange during the silence.
	ended chan struct{}
	// gaveUp is closed when the context of the exchange ends, also if nobody reads.
	gaveUp chan struct{}
	// connectedAt is when the connection was opened, zero for now.
	connectedAt time.Time
	// after is the delay before the runner answers.
	after time.Duration
	// endsWithConnection marks the answer as one without a length.
	endsWithConnection bool
	// onSent is called when the request has arrived.
	onSent func()
	// hang blocks the request until its context is done.
	hang bool
}

// conclusion is what the reply's answer tells about the execution.
func (r *reply) conclusion() execution.Rule {
	switch {
	case r.misdirected:
		return execution.Misdirected
	case r.notExecuted:
		return execution.Refused
	}
	return execution.Answered
}

// fakeRunners simulates all runners. Each request consumes the next reply of
// its runner; the last reply is repeated.
type fakeRunners struct {
	mu      sync.Mutex
	replies map[string][]reply
	// any holds the replies of runners that have none of their own.
	any   []reply
	sent  []Dispatch
	calls []batch.Call
	freed []string
	// reserved holds the runners that keep room.
	reserved []string
	// connects are the addresses of Connect; it fails if down is set.
	connects []string
	down     bool
	pieces   func(c *batch.Call) batch.CallResult
	release  chan struct{}
}

func (f *fakeRunners) next(runner string) reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	list, own := f.replies[runner]
	if !own {
		list = f.any
	}
	r := list[0]
	if len(list) > 1 {
		if own {
			f.replies[runner] = list[1:]
		} else {
			f.any = list[1:]
		}
	}
	return r
}

func (f *fakeRunners) Send(ctx context.Context, d *Dispatch) (*Response, error) {
	r := f.next(d.RunnerID)
	if r.notSent {
		return nil, &exchange.Error{Addr: d.Addr, Err: errors.New("refused")}
	}
	f.mu.Lock()
	f.sent = append(f.sent, *d)
	f.mu.Unlock()
	if r.connectedAt.IsZero() {
		r.connectedAt = time.Now()
	}
	d.OnConnection(r.connectedAt)
	if r.gaveUp != nil {
		context.AfterFunc(ctx, func() { close(r.gaveUp) })
	}
	if d.OnSent != nil {
		d.OnSent()
	}
	if r.onSent != nil {
		r.onSent()
	}
	if r.after > 0 {
		time.Sleep(r.after)
	}
	if r.hang {
		<-ctx.Done()
		return nil, &exchange.Error{Addr: d.Addr, Sent: true, Err: ctx.Err()}
	}
	if r.lost {
		return nil, &exchange.Error{Addr: d.Addr, Sent: true, Err: io.ErrUnexpectedEOF}
	}
	var body io.Reader = strings.NewReader(r.body)
	if r.cut {
		body = io.MultiReader(body, &failingReader{})
	}
	if r.endless != nil {
		body = io.MultiReader(body, &pausedReader{ctx: ctx, reader: r.endless, pause: r.pause})
	}
	if r.silentUntil != nil {
		body = io.MultiReader(body, &silentReader{ctx: ctx, until: r.silentUntil, ended: r.ended}, strings.NewReader(r.rest))
	}
	header := http.Header{"X-From": {d.RunnerID}}
	maps.Copy(header, r.header)
	return &Response{
		Signed: !r.unsigned, Encoded: r.encoded, Advice: r.advice,
		Status: r.status, Header: header, Body: io.NopCloser(body),
		Conclusion: r.conclusion(), EndsWithConnection: r.endsWithConnection,
	}, nil
}

// Reserve keeps room unless the runner would refuse the request or cannot be reached.
func (f *fakeRunners) Reserve(_ context.Context, r *Reservation) (string, advice.Advice, error) {
	if reply := f.peek(r.RunnerID); !reply.notSent && !reply.conclusion().NotExecuted() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.reserved = append(f.reserved, r.RunnerID)
		return "room at " + r.RunnerID, advice.Advice{}, nil
	}
	reply := f.next(r.RunnerID)
	if reply.onSent != nil {
		reply.onSent()
	}
	return "", reply.advice, errors.New("no room")
}

// Connect opens a connection to a runner that is not down.
func (f *fakeRunners) Connect(_ context.Context, addr string) (time.Time, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.connects = append(f.connects, addr)
	if f.down {
		return time.Time{}, errors.New("refused")
	}
	return time.Now(), nil
}

// connected returns the addresses to which connections were opened for nothing else.
func (f *fakeRunners) connected() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.connects)
}

// peek returns the next reply of a runner.
func (f *fakeRunners) peek(runner string) reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	if list, own := f.replies[runner]; own {
		return list[0]
	}
	return f.any[0]
}

func (f *fakeRunners) RunPieces(_ context.Context, c *batch.Call) batch.CallResult {
	f.mu.Lock()
	f.calls = append(f.calls, *c)
	pieces := f.pieces
	f.mu.Unlock()
	if f.release != nil {
		<-f.release
	}
	if pieces != nil {
		return pieces(c)
	}
	return resultsFor(c)
}

// resultsFor returns a successful result for every item of a call.
func resultsFor(c *batch.Call) batch.CallResult {
	var r batch.CallResult
	for _, i := range c.Items {
		r.Results = append(r.Results, batch.Result{Handle: fmt.Sprintf("%s/%s-%d-%d-%d", c.Runner, i.Request, i.Stage, i.Piece, i.Ref), Runner: c.Runner})
	}
	return r
}

func (f *fakeRunners) FreePieces(_ context.Context, _ string, handles []string) (advice.Advice, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freed = append(f.freed, handles...)
	return advice.Advice{}, nil
}

func (f *fakeRunners) sends() []Dispatch {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Dispatch(nil), f.sent...)
}

func (f *fakeRunners) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.calls)
}

func (f *fakeRunners) freedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.freed)
}

// fakeResponder records the answer sent to one caller.
type fakeResponder struct {
	status  int
	body    string
	from    string
	refusal *Refusal
	aborted bool
	answers int
}

func (f *fakeResponder) Respond(status int, h http.Header, body *Body) error {
	f.answers++
	var b strings.Builder
	_, err := body.WriteTo(&b)
	f.status, f.body, f.from = status, b.String(), h.Get("X-From")
	return err
}

func (f *fakeResponder) Stream(status int, h http.Header) (EventWriter, error) {
	f.answers++
	f.status, f.from = status, h.Get("X-From")
	return f, nil
}

func (f *fakeResponder) Refuse(r *Refusal) {
	f.answers++
	f.refusal = r
}

func (f *fakeResponder) Write(events []byte) error {
	f.body += string(events)
	return nil
}

func (f *fakeResponder) Abort() { f.aborted = true }

// noPeers is a transport on which no other VM can be reached.
type noPeers struct{}

func (noPeers) Call(context.Context, string, transport.Method, []byte) ([]byte, error) {
	return nil, &transport.NotSentError{Err: errors.New("no such VM")}
}

func testCatalog() *catalog.Catalog {
	plain := func(name string, repeat catalog.RetryPolicy) catalog.Route {
		return catalog.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", RetryPolicy: repeat, Timeout: 5 * time.Second, LatencyObjective: 300 * time.Millisecond,
			MaxRunners: 2, Targets: []catalog.Target{{Service: "ledger", Weight: 1}},
		}
	}
	stream := func(name string, repeat catalog.RetryPolicy) catalog.Route {
		r := plain(name, repeat)
		r.Streaming, r.PromptAffinity, r.MaxEventGap = true, true, time.Second
		r.LatencyObjective = 2 * time.Second
		r.Targets[0].Service = "engines"
		return r
	}
	staged := stream("staged", catalog.RetryNever)
	staged.Stages = []catalog.Stage{
		{Service: "encode", ResultBytes: 10}, {Service: "search", After: []int{0}, ResultBytes: 10}, {Service: "encode", ResultBytes: 10},
	}
	return &catalog.Catalog{
		Version: 1,
		Services: []catalog.Service{
			{Name: "ledger"},
			{Name: "engines", Engine: &catalog.Engine{Slots: 64, MaxReservation: 2 * time.Second}},
			{Name: "encode", StageRunner: &catalog.StageRunner{Slots: 1, MaxBatch: 8, CallTime: 10 * time.Millisecond, PieceTime: time.Millisecond, ResultMemoryBytes: 1000, Retention: time.Minute}},
			{Name: "search", StageRunner: &catalog.StageRunner{Slots: 1, MaxBatch: 8, CallTime: 10 * time.Millisecond, PieceTime: time.Millisecond, ResultMemoryBytes: 1000, Retention: time.Minute}},
		},
		Routes: []catalog.Route{
			plain("once", catalog.RetryNever), plain("again", catalog.RetryAlways),
			stream("stream", catalog.RetryNever), stream("resume", catalog.RetryFromEvent), staged,
		},
		Workspaces: []catalog.Workspace{{Name: "w", Keys: []string{"key"}}},
	}
}

func testRunners() []directory.Runner {
	var list []directory.Runner
	for _, service := range []string{"ledger", "engines", "encode", "search"} {
		for n := 1; n <= 3; n++ {
			id := fmt.Sprint(service, n)
			list = append(list, directory.Runner{ID: id, Service: service, Addr: id + ":80", Zone: "z", Slots: 6})
		}
	}
	return list
}

// newTestGateway returns a running gateway with the test catalog, in front of
// fake runners.
func newTestGateway() (*Gateway, *fakeRunners) {
	g, f := newUnconfiguredGateway()
	g.Update(&directory.State{
		Table: catalog.NewTable(testCatalog()), List: &directory.RunnerList{Seq: 1, Runners: testRunners()},
		Entries: []directory.EntryVM{{Addr: "self", Zone: "z"}},
	})
	return g, f
}

// newUnconfiguredGateway returns a running gateway that knows nothing yet.
func newUnconfiguredGateway() (*Gateway, *fakeRunners) {
	f := &fakeRunners{replies: map[string][]reply{}, any: []reply{{status: 200, body: "ok"}}}
	g := New(Options{
		Self: "self", Topology: placement.Topology{Zone: "z", Regions: map[string]string{"z": "r"}},
		RetryBudget: RetryBudgetOptions{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		DrainTime:   4 * time.Second, Upstreams: f, Caller: noPeers{}, Logger: &log.Logger{Level: log.PanicLevel},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(cancel)
	go g.Run(ctx)
	return g, f
}

func call(route string) *Call {
	return &Call{
		ID: "id-1", Method: "POST", Target: "/" + route + "/x", Path: "/" + route + "/x", Host: "h", Header: http.Header{},
		Key: "key", Received: time.Now(), Timeout: 5 * time.Second,
	}
}

// serve serves a call and returns the recorded answer.
func serve(g *Gateway, c *Call) *fakeResponder {
	out := &fakeResponder{}
	g.Serve(context.Background(), c, out)
	Expect(out.answers).To(Equal(1), "a caller must receive exactly one answer")
	return out
}

// active returns the requests that are counted as active at a service's runners.
func (r *runnerSet) active(service string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, l := range r.byService[service] {
		n += l.state.ActiveRequests
	}
	return n
}
