package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"damaskbridge.example/damaskbridge/exchange"
	"damaskbridge.example/damaskbridge/placement"
)

var (
	errUnsigned = errors.New("the answer has no runner's signature")
	errEncoded  = errors.New("the success has a content encoding that nobody asked for")
	errPromise  = errors.New("the status promises that the request has not been executed, and the runner has not declared that")
)

// checkProof returns an error if an answer that is no refusal must not be passed on:
// nothing proves it to be the runner's own, or its status promises what the runner has
// not declared. A head that was cut short and ended all the same proves nothing. A
// server error needs no proof: it tells the caller no more than one of this VM would.
func (r *Response) checkProof() error {
	switch {
	case promisesNotExecuted(r.Status):
		return errPromise
	case !r.Signed && r.Status < http.StatusInternalServerError:
		return errUnsigned
	case r.Encoded && r.Status/100 == http.StatusOK/100:
		return errEncoded
	}
	return nil
}

// promisesNotExecuted reports whether callers may take a status as the promise that
// their request has not been executed and never will be.
func promisesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// damagedAnswer ends an exchange whose answer must not be passed on. The runner may
// have executed the request. Its answer shows that it has not crashed.
func (r *request) damagedAnswer(ctx context.Context, runner *placement.RunnerState, response *Response, err error) sendResult {
	_ = response.Body.Close()
	err = &exchange.Error{Addr: runner.Addr, Sent: true, ResponseStarted: true, Err: err}
	n := sendResult{attemptResult: attemptResult{executed: true, arrived: true, cause: err.Error()}}
	if ctx.Err() == nil {
		now := time.Now()
		n.record = func(s *placement.RunnerState) { s.RecordFailure(now) }
	}
	return n
}
