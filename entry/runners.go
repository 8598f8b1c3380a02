package entry

import (
	"context"
	"errors"
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/membership"
	"damaskbridge.example/damaskbridge/routing"
	"damaskbridge.example/damaskbridge/upstream"
	"github.com/phuslu/log"
)

// runners tracks the upstreams and routes requests to them.
type runners struct {
	self         ids.VMID
	region       ids.Region
	membersURL   string
	listInterval time.Duration
	members      *membership.ConcurrentTracker
	router       *routing.ConcurrentRouter
	client       *upstream.Client
	log          *log.Logger
}

func newRunners(o Options, client *upstream.Client) (*runners, error) {
	router, err := newRouter(o)
	if err != nil {
		return nil, err
	}
	return &runners{
		self:         o.VM,
		region:       o.Region,
		membersURL:   o.MembersURL,
		listInterval: o.MembersInterval,
		members:      membership.NewConcurrentTracker(membership.DefaultOptions(o.VM)),
		router:       router,
		client:       client,
		log:          o.Logger,
	}, nil
}

// run polls the membership list and the runners' loads until ctx ends.
func (r *runners) run(ctx context.Context) {
	list := time.NewTicker(r.listInterval)
	defer list.Stop()
	loads := time.NewTicker(loadInterval)
	defer loads.Stop()
	r.readList(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-list.C:
			r.readList(ctx)
		case <-loads.C:
			r.readLoads(ctx)
		}
	}
}

// listTimeout limits one read of the membership list.
const listTimeout = time.Second

// readList reads the platform's membership list once.
func (r *runners) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := r.client.Members(ctx, r.membersURL)
	if err != nil {
		if ctx.Err() == nil {
			r.log.Warn().Err(err).Msg("entry: the membership list could not be read")
		}
		return
	}
	if r.members.ApplyList(membershipList(list), time.Now()) == membership.ListSuspect {
		r.log.Warn().Uint64("seq", list.Seq).Msg("entry: the membership list has lost too many upstreams; waiting for confirmation")
	}
}

func membershipList(l upstream.MemberList) membership.List {
	out := membership.List{Seq: l.Seq, AtUnixMS: l.AtUnixMS}
	for _, m := range l.Members {
		out.Members = append(out.Members, membership.Member{
			VM: ids.VMID(m.VM), Address: m.Address, Pool: m.Pool,
			Region: ids.Region(m.Region), State: membership.ListState(m.State),
		})
	}
	return out
}

// readLoads polls the load of each runner in this VM's membership view. The polls
// run concurrently, so that one dead runner doesn't delay the others.
func (r *runners) readLoads(ctx context.Context) {
	view := r.members.View()
	for _, pool := range view.Pools() {
		for _, u := range view.Pool(pool) {
			go r.readLoad(ctx, u.Address)
		}
	}
}

func (r *runners) readLoad(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, loadInterval)
	defer cancel()
	report, err := r.client.Load(ctx, addr)
	if err != nil {
		r.observeError(addr, err)
		return
	}
	r.observeLoad(addr, report)
	if report.Draining {
		r.members.ObserveDraining(addr, time.Now())
		return
	}
	r.members.ObserveSuccess(addr, time.Now())
}

// observeLoad passes a load report from a poll or a response to the router.
func (r *runners) observeLoad(addr string, l upstream.LoadReport) {
	if l.AtUnixMS == 0 {
		return
	}
	load := routing.Load{Running: l.Running, Waiting: l.Waiting, At: time.UnixMilli(l.AtUnixMS)}
	r.router.ObserveLoad(addr, load, time.Now())
}

// observeError updates the membership view if err shows that the upstream is
// draining or refuses connections.
func (r *runners) observeError(addr string, err error) {
	now := time.Now()
	switch upstream.CauseOf(err) {
	case upstream.Draining:
		r.members.ObserveDraining(addr, now)
	case upstream.NotSent:
		r.members.ObserveRefused(addr, now)
	}
}

// routingResult maps the error of an attempt to a result for the router.
func routingResult(err error) routing.Result {
	if err == nil {
		return routing.Success
	}
	switch upstream.CauseOf(err) {
	case upstream.NotSent:
		return routing.ConnectFailure
	case upstream.Draining, upstream.Overloaded:
		return routing.Overloaded
	case upstream.Cancelled, upstream.CancelledBeforeSend, upstream.GuardFailed, upstream.SilentConnection:
		return routing.Cancelled
	default:
		return routing.Failure
	}
}

// retryAfterHint returns the retry hint of a failed runner choice.
func retryAfterHint(err error) time.Duration {
	const defaultHint = 500 * time.Millisecond
	var none *routing.NoCandidateError
	if errors.As(err, &none) && none.RetryAfter > 0 {
		return none.RetryAfter
	}
	return defaultHint
}
