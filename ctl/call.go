package ctl

import "context"

// callAndPrint sends one request, bounded by the timeout flag, and passes the
// decoded reply to printReply, which writes it as JSON if -json is set.
func callAndPrint[T any](ctx context.Context, inv *invocation, req request, printReply func(T) error) error {
	c, ctx, cancel, err := inv.clientWithTimeout(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	var reply T
	if err := c.do(ctx, req, &reply); err != nil {
		return err
	}
	return printReply(reply)
}
