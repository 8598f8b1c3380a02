package dev

import (
	"context"
	"errors"
	"fmt"
	"io"

	"damaskbridge.example/damaskbridge/cluster"
	"damaskbridge.example/damaskbridge/sample"
)

// sampler sends one request of every kind and checks what came back.
type sampler struct {
	d   *sample.Deployment
	c   *cluster.Cluster
	out io.Writer
}

func newSampler(d *sample.Deployment, c *cluster.Cluster, out io.Writer) *sampler {
	return &sampler{d: d, c: c, out: out}
}

// check is one sample.
type check struct {
	name string
	run  func(context.Context) (result, error)
}

// result is what a sample shows: the request, a line for people, and the
// verdict that the audit log should give.
type result struct {
	request string
	detail  string
	verdict string
	outcome string
}

// run makes every check and gives an error that names the wrong ones.
func (s *sampler) run(ctx context.Context) error {
	var wrong []error
	for _, k := range s.checks() {
		r, err := k.run(ctx)
		if err == nil {
			err = s.account(ctx, &r)
		}
		if err != nil {
			fmt.Fprintf(s.out, "WRONG %-22s %v\n", k.name, err)
			wrong = append(wrong, fmt.Errorf("%s: %w", k.name, err))
			continue
		}
		fmt.Fprintf(s.out, "ok    %-22s %s\n      audit: %s\n", k.name, r.detail, r.verdict)
	}
	return errors.Join(wrong...)
}

func (s *sampler) checks() []check {
	return []check{
		{"pipeline", s.pipeline},
		{"stream", s.stream},
		{"chat", s.chat},
		{"lookup", s.lookup},
		{"booking sent twice", s.bookingTwice},
		{"late answer", s.late},
		{"unknown pipeline", s.unknownPipeline},
	}
}
