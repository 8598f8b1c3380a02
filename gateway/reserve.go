package gateway

import (
	"context"
	"time"

	"damaskbridge.example/damaskbridge/placement"
)

const (
	// reserveTimeout is how long a runner may take to keep room for a request.
	reserveTimeout = time.Second
	// reservedTime is how long a runner is asked to keep the room. It covers the time
	// to open a connection and to send the request.
	reservedTime = time.Second
)

// reserveRoom asks a runner to keep room for the request. It returns the handle of the
// room, empty if runners of the service cannot be asked to.
func (r *request) reserveRoom(ctx context.Context, runner *placement.RunnerState) (handle string, err error) {
	if r.service.Engine == nil || r.service.Engine.MaxReservation <= 0 {
		return "", nil
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	handle, said, err := r.g.opts.Upstreams.Reserve(ctx, &Reservation{
		RunnerID: runner.ID, Addr: runner.Addr, Tokens: r.call.Prompt.Tokens + r.call.Prompt.MaxOutput,
		Duration: min(reservedTime, r.service.Engine.MaxReservation),
	})
	r.g.recordAdvice(runner.Addr, r.g.runners.startOf(runner), said)
	r.g.metrics.recordReservation(err == nil)
	return handle, err
}
