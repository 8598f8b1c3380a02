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
	// claimPollMin and claimPollMax bound the time between two claims of a key
	// that another request owns.
	claimPollMin = 50 * time.Millisecond
	claimPollMax = 400 * time.Millisecond
	// settleTimeout limits recording the outcome of a claimed request after the
	// caller's deadline, and resolving a claim with an unknown result.
	settleTimeout = 30 * time.Second
)

// Errors of claim.guard. Each stops a dispatch before anything is sent.
var (
	errDispatchWindowPassed = errors.New("the claim's dispatch window has passed")
	errSessionNotCurrent    = errors.New("the session or its lease has ended")
	errDeadlinePassed       = errors.New("the caller's deadline has passed")
)

// claim is a request's exclusive claim on an idempotency key, under which it may
// dispatch.
type claim struct {
	s   *Server
	req *request
	// proposedAt is the time directly before the claim was proposed.
	proposedAt time.Time
}

// requestDigest returns the digest of target and body that binds a key to one
// request.
func requestDigest(target string, body []byte) [32]byte {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s\n", len(target), target)
	h.Write(body)
	return [32]byte(h.Sum(nil))
}

// group returns the replicated group that holds the key.
func (c *claim) group() ids.GroupID {
	groups := c.req.tree.Int("", settings.LedgerGroups)
	return ledger.GroupOf(c.req.workspace.Name, c.req.key, uint32(groups))
}

// acquire claims the key, or returns the stored response if there is one. While
// another request owns the key it retries until ctx ends.
func (c *claim) acquire(ctx context.Context, digest [32]byte) (*command.Result, error) {
	wait := claimPollMin
	for {
		c.proposedAt = time.Now()
		cmd := command.Command{Claim: &command.Claim{Workspace: c.req.workspace.Name, Key: c.req.key, Digest: digest, Request: c.req.id}}
		res, err := c.s.opts.Control.Propose(ctx, c.group(), cmd)
		if err != nil {
			c.s.background(func() { c.abandon(cmd) })
			return nil, c.req.problemf(problem.LedgerUnavailable, "%v", err).WithRetryAfter(time.Second)
		}
		if res.Code != command.ClaimInProgress {
			return &res, c.resultProblem(&res)
		}
		select {
		case <-ctx.Done():
			p := problem.New(problem.KeyInProgress, problem.Unknown, "request %s holds the key", res.Owner)
			return nil, p.WithInstance(c.req.id.String()).WithRetryAfter(time.Second)
		case <-time.After(wait):
		}
		wait = min(2*wait, claimPollMax)
	}
}

// resultProblem returns the problem of a result that is neither a grant nor a
// stored response, nil otherwise.
func (c *claim) resultProblem(res *command.Result) error {
	id := c.req.id.String()
	switch res.Code {
	case command.ClaimGranted, command.ClaimDone:
		return nil
	case command.ClaimUnknown:
		return problem.New(problem.OutcomeUnknown, problem.Unknown, "request %s held the key and its VM was lost", res.Owner).WithInstance(id)
	case command.ClaimConflict:
		return problem.New(problem.KeyConflict, problem.NotRun, "request %s used the key", res.Owner).WithInstance(id)
	case command.ClaimExpired:
		state := problem.Unknown
		if res.RanBefore {
			state = problem.Executed
		}
		return problem.New(problem.KeyExpired, state, "%s", res.Detail).WithInstance(id)
	case command.SessionEnded:
		return problem.New(problem.ControlUnavailable, problem.NotRun, "the VM's session has ended").WithInstance(id).WithRetryAfter(time.Second)
	default:
		return problem.New(problem.LedgerUnavailable, problem.NotRun, "%s", res.Detail).WithInstance(id).WithRetryAfter(time.Second)
	}
}

// guard returns an error if the claim no longer allows a dispatch. It is called
// directly before the first byte is written, so that a process that was
// suspended between claim and dispatch does not dispatch late.
func (c *claim) guard() error {
	now := time.Now()
	switch {
	case now.Sub(c.proposedAt) >= dispatchWindow:
		return errDispatchWindowPassed
	case !c.s.subscriber.snapshot().owns(c.req.id.Session, now):
		return errSessionNotCurrent
	case !now.Before(c.req.deadline):
		return errDeadlinePassed
	default:
		return nil
	}
}

// abandon resolves a claim whose proposal failed with an unknown result and
// under which nothing was dispatched. It proposes the claim until the result is
// known, then releases it unless a response is stored under the key. The
// release is sent even while another request holds the key: it makes the ledger
// reject a proposal of this claim that is still in flight.
func (c *claim) abandon(cmd command.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	res, err := c.s.opts.Control.Propose(ctx, c.group(), cmd)
	if err != nil || res.Code == command.ClaimDone {
		return
	}
	_ = c.release(ctx)
}

// release releases the key. Call it only if provably nothing was executed.
func (c *claim) release(ctx context.Context) error {
	cmd := command.Command{ReleaseKey: &command.ReleaseKey{Workspace: c.req.workspace.Name, Key: c.req.key, Request: c.req.id}}
	return c.propose(ctx, cmd)
}

// storeAnswer stores the response durably.
func (c *claim) storeAnswer(ctx context.Context, a command.Answer) error {
	cmd := command.Command{Record: &command.Record{Workspace: c.req.workspace.Name, Key: c.req.key, Request: c.req.id, Answer: a}}
	return c.propose(ctx, cmd)
}

// propose proposes a command to the key's group and returns an error unless its
// result is OK.
func (c *claim) propose(ctx context.Context, cmd command.Command) error {
	res, err := c.s.opts.Control.Propose(ctx, c.group(), cmd)
	if err != nil {
		return err
	}
	if res.Code != command.OK {
		return fmt.Errorf("ledger: code %d: %s", res.Code, res.Detail)
	}
	return nil
}
