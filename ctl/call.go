package ctl

import "context"

// call makes one call within the timeout and shows its reply. The function show
// prints JSON if -json is set.
func call[T any](ctx context.Context, r *run, q request, show func(T) error) error {
	c, ctx, cancel, err := r.client(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	var reply T
	if err := c.do(ctx, q, &reply); err != nil {
		return err
	}
	return show(reply)
}
