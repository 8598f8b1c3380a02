package ctl

import (
	"context"
	"crypto/rand"
	"fmt"

	"damaskbridge.example/damaskbridge/admin"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/settings"
)

// current stands for the current version as base.
const current = -1

func (r *run) apply(ctx context.Context) error {
	file := r.flags.String("f", "", "document `file`")
	base := r.flags.Int64("base", current, "`version` that the document was written for; -1 is the current one")
	id := r.flags.String("id", "", "change `id`; give the same one to resend a change (default: a new one)")
	wait := r.flags.Bool("wait", false, "wait until the change is in effect on every entry VM")
	if err := r.parse(0, 0); err != nil {
		return err
	}
	doc, err := r.document(*file)
	if err != nil {
		return err
	}
	c, ctx, cancel, err := r.client(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	// Base and id are fixed before the first attempt, so that every attempt
	// is the same change.
	if *base == current {
		v, err := c.Version(ctx)
		if err != nil {
			return err
		}
		*base = int64(v.Version)
	}
	if *id == "" {
		*id = newID()
	}
	reply, err := c.ApplyDocument(ctx, *id, uint64(*base), *file, doc)
	if err != nil {
		r.explainLost(err, *file, *id, *base)
		return err
	}
	if !*wait {
		return r.printApplied(*id, reply, nil)
	}
	in, err := c.Wait(ctx, reply.Version)
	if err != nil {
		return fmt.Errorf("change %s is accepted as version %d: %w", *id, reply.Version, err)
	}
	return r.printApplied(*id, reply, &in)
}

// explainLost tells how to learn the outcome of a change without an answer.
func (r *run) explainLost(err error, file, id string, base int64) {
	if p, ok := problem.As(err); ok && p.Execution != problem.Unknown {
		return
	}
	fmt.Fprintf(r.Stderr, "damaskctl: the change may have been accepted. To learn the outcome or apply it, run:\n  damaskctl apply -f %s -base %d -id %s\n", file, base, id)
}

// newID gives a random change id.
func newID() string { return rand.Text() }

func (r *run) document(file string) ([]byte, error) {
	if file == "" {
		return nil, usage("no document is given; give -f FILE")
	}
	return r.ReadFile(file)
}

func (r *run) diff(ctx context.Context) error {
	file := r.flags.String("f", "", "document `file`")
	if err := r.parse(0, 0); err != nil {
		return err
	}
	doc, err := r.document(*file)
	if err != nil {
		return err
	}
	c, ctx, cancel, err := r.client(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	reply, err := c.Diff(ctx, *file, doc)
	if err != nil {
		return err
	}
	return r.printDiff(reply)
}

// check reads a document against empty settings, without a server. Sections
// that it leaves out count as empty.
func (r *run) check(context.Context) error {
	file := r.flags.String("f", "", "document `file`")
	if err := r.parse(0, 0); err != nil {
		return err
	}
	doc, err := r.document(*file)
	if err != nil {
		return err
	}
	ops, err := settings.ParseDocument(*file, doc, settings.NewTree())
	if err != nil {
		return invalidDocument{err}
	}
	return r.printDiff(admin.DiffReply{Ops: ops})
}

// invalidDocument makes a document's faults an invalid_settings problem, so
// that check and apply have the same exit code.
type invalidDocument struct{ error }

// As gives the problem for problem.As.
func (d invalidDocument) As(target any) bool {
	p, ok := target.(**problem.Problem)
	if ok {
		*p = problem.New(problem.InvalidSettings, problem.NotRun, "%v", d.error)
	}
	return ok
}
