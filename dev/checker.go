package dev

import (
	"context"
	"errors"
	"fmt"
	"io"

	"damaskbridge.example/damaskbridge/cluster"
	"damaskbridge.example/damaskbridge/sample"
)

// checker sends one request of each kind and checks the responses and the audit
// log.
type checker struct {
	deployment *sample.Deployment
	cluster    *cluster.Cluster
	out        io.Writer
}

func newChecker(d *sample.Deployment, c *cluster.Cluster, out io.Writer) *checker {
	return &checker{deployment: d, cluster: c, out: out}
}

// check sends the requests of one case and checks the responses.
type check struct {
	name string
	run  func(context.Context) (result, error)
}

// result is the result of a check whose response was right.
type result struct {
	requestID string
	// detail describes the response in the printed line.
	detail string
	// wantOutcome is the outcome that the audit log must have.
	wantOutcome string
	// auditSummary is what the audit log has, set by checkAudit.
	auditSummary string
}

// run performs every check, prints a line for each and returns the errors of
// those that failed.
func (c *checker) run(ctx context.Context) error {
	var failed []error
	for _, check := range c.checks() {
		r, err := check.run(ctx)
		if err == nil {
			err = c.checkAudit(ctx, &r)
		}
		if err != nil {
			fmt.Fprintf(c.out, "WRONG %-22s %v\n", check.name, err)
			failed = append(failed, fmt.Errorf("%s: %w", check.name, err))
			continue
		}
		fmt.Fprintf(c.out, "ok    %-22s %s\n      audit: %s\n", check.name, r.detail, r.auditSummary)
	}
	return errors.Join(failed...)
}

func (c *checker) checks() []check {
	return []check{
		{"pipeline", c.pipeline},
		{"stream", c.stream},
		{"chat", c.chat},
		{"lookup", c.lookup},
		{"booking sent twice", c.duplicateBooking},
		{"late answer", c.lateAnswer},
		{"unknown pipeline", c.unknownPipeline},
	}
}
