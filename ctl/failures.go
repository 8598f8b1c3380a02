package ctl

import (
	"errors"
	"fmt"
	"net"
	"net/http"

	"damaskbridge.example/damaskbridge/problem"
)

// failures collects the errors of a call's failed attempts. It keeps the last
// one of each category.
type failures struct {
	// refused is from an attempt that was answered with a problem stating that
	// nothing was executed.
	refused error
	// unknown is from an attempt that was sent and whose outcome is unknown.
	unknown error
	// unsent is from an attempt that did not reach a control VM.
	unsent error
}

// add records the error of an attempt at addr under its category.
func (f *failures) add(addr string, err error) {
	attemptErr := fmt.Errorf("%s: %w", addr, err)
	var opErr *net.OpError
	p, answered := problem.As(err)
	switch {
	case answered && p.Execution == problem.NotRun:
		f.refused = attemptErr
	case errors.As(err, &opErr) && opErr.Op == "dial":
		f.unsent = attemptErr
	default:
		f.unknown = attemptErr
	}
}

// callError returns the error of the whole call. If the outcome of any attempt is
// unknown, so is that of a change, even if another attempt reported that nothing
// was executed. A read prefers a refusal, since it names a remedy.
func (f *failures) callError(method string) error {
	if method == http.MethodGet {
		return firstError(f.refused, f.unknown, f.unsent)
	}
	if f.unknown != nil && f.refused != nil {
		return fmt.Errorf("%w; another attempt: %v", f.unknown, f.refused)
	}
	return firstError(f.unknown, f.refused, f.unsent)
}

// firstError returns the first non-nil error.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
