package entry

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/ledger"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/settings"
)

const (
	// claimPollFirst and claimPollMax bound the time between two looks at a
	// key that another request owns.
	claimPollFirst = 50 * time.Millisecond
	claimPollMax   = 400 * time.Millisecond
	// settleLimit is how long the end of a claimed request is tried to be
	// recorded after its caller's deadline.
	settleLimit = 30 * time.Second
)

// Errors of a guard: each stops a dispatch with nothing sent.
var (
	errWindowOver   = errors.New("the dispatch window of the claim is over")
	errSessionOver  = errors.New("the session or its lease has ended")
	errDeadlineOver = errors.New("the caller's deadline is over")
)

// claim is the right of one request to dispatch under an idempotency key.
type claim struct {
	s *Server
	q *request
	// sent is the time before the claim was proposed.
	sent time.Time
}

// digestOf binds a key to one request: the target and the body.
func digestOf(target string, body []byte) [32]byte {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s\n", len(target), target)
	h.Write(body)
	return [32]byte(h.Sum(nil))
}

// group gives the replicated group that holds the key.
func (c *claim) group() ids.GroupID {
	groups := c.q.tree.Int("", settings.LedgerGroups)
	return ledger.GroupOf(c.q.workspace.Name, c.q.key, uint32(groups))
}

// obtain claims the key. It gives a stored response if there is one, and waits
// within the deadline while another request owns the key.
func (c *claim) obtain(ctx context.Context, digest [32]byte) (*command.Result, error) {
	wait := claimPollFirst
	for {
		c.sent = time.Now()
		cmd := command.Command{Claim: &command.Claim{Workspace: c.q.workspace.Name, Key: c.q.key, Digest: digest, Request: c.q.id}}
		res, err := c.s.opts.Control.Propose(ctx, c.group(), cmd)
		if err != nil {
			c.s.background(func() { c.abandon(cmd) })
			return nil, c.q.fail(problem.LedgerDown, "%v", err).After(time.Second)
		}
		if res.Code != command.ClaimInProgress {
			return &res, c.refusal(&res)
		}
		select {
		case <-ctx.Done():
			p := problem.New(problem.KeyInProgress, problem.Unknown, "request %s holds the key", res.Owner)
			return nil, p.For(c.q.id.String()).After(time.Second)
		case <-time.After(wait):
		}
		wait = min(2*wait, claimPollMax)
	}
}

// refusal gives the problem of a result that is neither a grant nor a stored
// response.
func (c *claim) refusal(res *command.Result) error {
	id := c.q.id.String()
	switch res.Code {
	case command.ClaimGranted, command.ClaimDone:
		return nil
	case command.ClaimUnknown:
		return problem.New(problem.EndUnknown, problem.Unknown, "request %s held the key and its VM was lost", res.Owner).For(id)
	case command.ClaimConflict:
		return problem.New(problem.KeyConflict, problem.NotRun, "request %s used the key", res.Owner).For(id)
	case command.ClaimExpired:
		state := problem.Unknown
		if res.RanBefore {
			state = problem.Ran
		}
		return problem.New(problem.KeyExpired, state, "%s", res.Detail).For(id)
	case command.SessionEnded:
		return problem.New(problem.ControlDown, problem.NotRun, "the VM's session has ended").For(id).After(time.Second)
	default:
		return problem.New(problem.LedgerDown, problem.NotRun, "%s", res.Detail).For(id).After(time.Second)
	}
}

// guard gives the check directly before the first byte of a dispatch. It keeps
// a process that was frozen between claim and dispatch from dispatching late.
func (c *claim) guard() error {
	now := time.Now()
	switch {
	case now.Sub(c.sent) >= dispatchWindow:
		return errWindowOver
	case !c.s.sub.snapshot().owns(c.q.id.Session, now):
		return errSessionOver
	case !now.Before(c.q.deadline):
		return errDeadlineOver
	default:
		return nil
	}
}

// abandon settles a claim whose proposal has no known result. It proposes the
// claim until the result is known, then releases it unless the key has an
// answer. The release is sent also while another request holds the key: it
// makes the ledger refuse a proposal of this claim that is still under way.
// Nothing was dispatched.
func (c *claim) abandon(cmd command.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), settleLimit)
	defer cancel()
	res, err := c.s.opts.Control.Propose(ctx, c.group(), cmd)
	if err != nil || res.Code == command.ClaimDone {
		return
	}
	_ = c.release(ctx)
}

// release frees the key after proof that nothing was executed.
func (c *claim) release(ctx context.Context) error {
	cmd := command.Command{Release: &command.Release{Workspace: c.q.workspace.Name, Key: c.q.key, Request: c.q.id}}
	return c.settle(ctx, cmd)
}

// record stores the response durably.
func (c *claim) record(ctx context.Context, a command.Answer) error {
	cmd := command.Command{Record: &command.Record{Workspace: c.q.workspace.Name, Key: c.q.key, Request: c.q.id, Answer: a}}
	return c.settle(ctx, cmd)
}

func (c *claim) settle(ctx context.Context, cmd command.Command) error {
	res, err := c.s.opts.Control.Propose(ctx, c.group(), cmd)
	if err != nil {
		return err
	}
	if res.Code != command.OK {
		return fmt.Errorf("ledger: code %d: %s", res.Code, res.Detail)
	}
	return nil
}
