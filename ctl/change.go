package ctl

import (
	"context"
	"crypto/rand"
	"fmt"

	"damaskbridge.example/damaskbridge/admin"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/settings"
)

// currentVersion as -base stands for the current version.
const currentVersion = -1

// apply implements 'apply', which applies a document to the settings.
func (inv *invocation) apply(ctx context.Context) error {
	file := inv.flags.String("f", "", "document `file`")
	base := inv.flags.Int64("base", currentVersion, "`version` that the document was written for; -1 is the current one")
	id := inv.flags.String("id", "", "change `id`; give the same one to resend a change (default: a new one)")
	wait := inv.flags.Bool("wait", false, "wait until the change is in effect on every entry VM")
	doc, err := inv.parseWithDocument(file)
	if err != nil {
		return err
	}
	c, ctx, cancel, err := inv.clientWithTimeout(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	// The base version and id are fixed before the first attempt, so that all
	// attempts send the same change.
	if *base == currentVersion {
		v, err := c.CurrentVersion(ctx)
		if err != nil {
			return err
		}
		*base = int64(v.Version)
	}
	if *id == "" {
		*id = newChangeID()
	}
	reply, err := c.ApplyDocument(ctx, *id, uint64(*base), *file, doc)
	if err != nil {
		inv.printResendHint(err, *file, *id, *base)
		return err
	}
	if !*wait {
		return inv.printApplied(*id, reply, nil)
	}
	inEffect, err := c.WaitInEffect(ctx, reply.Version)
	if err != nil {
		return fmt.Errorf("change %s is accepted as version %d: %w", *id, reply.Version, err)
	}
	return inv.printApplied(*id, reply, &inEffect)
}

// printResendHint prints the command that resends a change whose outcome is
// unknown. Since the id is the same, resending does not apply it twice.
func (inv *invocation) printResendHint(err error, file, id string, base int64) {
	if p, ok := problem.As(err); ok && p.Execution != problem.Unknown {
		return
	}
	fmt.Fprintf(inv.Stderr, "damaskctl: the change may have been accepted. To learn the outcome or apply it, run:\n  damaskctl apply -f %s -base %d -id %s\n", file, base, id)
}

// newChangeID returns a random change id.
func newChangeID() string { return rand.Text() }

// parseWithDocument parses the flags and reads the document that file, the -f
// flag, names then.
func (inv *invocation) parseWithDocument(file *string) ([]byte, error) {
	if err := inv.parse(0, 0); err != nil {
		return nil, err
	}
	if *file == "" {
		return nil, usageErrorf("no document is given; give -f FILE")
	}
	return inv.ReadFile(*file)
}

// diff implements 'diff', which shows what a document would change.
func (inv *invocation) diff(ctx context.Context) error {
	file := inv.flags.String("f", "", "document `file`")
	doc, err := inv.parseWithDocument(file)
	if err != nil {
		return err
	}
	c, ctx, cancel, err := inv.clientWithTimeout(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	reply, err := c.Diff(ctx, *file, doc)
	if err != nil {
		return err
	}
	return inv.printDiff(reply)
}

// check implements 'check', which validates a document against empty settings
// without a server. Sections missing from the document count as empty.
func (inv *invocation) check(context.Context) error {
	file := inv.flags.String("f", "", "document `file`")
	doc, err := inv.parseWithDocument(file)
	if err != nil {
		return err
	}
	ops, err := settings.ParseDocument(*file, doc, settings.NewTree())
	if err != nil {
		return invalidDocumentError{err}
	}
	return inv.printDiff(admin.DiffReply{Ops: ops})
}

// invalidDocumentError converts a validation error of a document into an
// invalid_settings problem, so that check and apply have the same exit code.
type invalidDocumentError struct{ error }

// As sets target to an invalid_settings problem if it has that type, for
// problem.As.
func (e invalidDocumentError) As(target any) bool {
	p, ok := target.(**problem.Problem)
	if ok {
		*p = problem.New(problem.InvalidSettings, problem.NotRun, "%v", e.error)
	}
	return ok
}
