package ctl

import (
	"errors"
	"fmt"
	"net"
	"net/http"

	"damaskbridge.example/damaskbridge/problem"
)

// failures holds the failed attempts of one call, the last of each sort.
type failures struct {
	// refused attempts got a problem that says that nothing was executed.
	refused error
	// unknown attempts were sent and their outcome was not learned.
	unknown error
	// unsent attempts did not reach a control VM.
	unsent error
}

func (f *failures) add(addr string, err error) {
	failed := fmt.Errorf("%s: %w", addr, err)
	var op *net.OpError
	p, answered := problem.As(err)
	switch {
	case answered && p.Execution == problem.NotRun:
		f.refused = failed
	case errors.As(err, &op) && op.Op == "dial":
		f.unsent = failed
	default:
		f.unknown = failed
	}
}

// err gives the error of the call. A change with an attempt of unknown outcome
// has an unknown outcome, whatever another attempt says of itself. A read
// reports a refusal first, since that names a remedy.
func (f *failures) err(method string) error {
	if method == http.MethodGet {
		return first(f.refused, f.unknown, f.unsent)
	}
	if f.unknown != nil && f.refused != nil {
		return fmt.Errorf("%w; another attempt: %v", f.unknown, f.refused)
	}
	return first(f.unknown, f.refused, f.unsent)
}

// first gives the first error that is not nil.
func first(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
