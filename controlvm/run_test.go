package controlvm

import (
	"context"
	"fmt"
	"syscall"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
)

// Guards against a process that ends, again and again, because its disk is full
// when it starts, and against one that waits for anything else.
var _ = ginkgo.It("starts once there is space on the disk", func() {
	o := Options{Logger: &log.Logger{Level: log.PanicLevel}}
	results := []error{fmt.Errorf("audit log: %w", syscall.ENOSPC), nil, syscall.EIO}
	started := 0
	start := func(Options) (*VM, error) {
		started++
		return nil, results[started-1]
	}
	_, err := startWhenSpace(context.Background(), o, start)
	Expect(err).NotTo(HaveOccurred())
	Expect(started).To(Equal(2))
	_, err = startWhenSpace(context.Background(), o, start)
	Expect(err).To(MatchError(syscall.EIO))

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	started = 0
	_, err = startWhenSpace(ctx, o, start)
	Expect(err).To(MatchError(syscall.ENOSPC))
})
