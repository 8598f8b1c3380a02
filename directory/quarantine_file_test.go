package directory

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"damaskbridge.example/damaskbridge/quarantine"
)

var _ = ginkgo.Describe("the file of the quarantine", func() {
	var path string
	var logger *log.Logger
	ginkgo.BeforeEach(func() { path, logger = filepath.Join(ginkgo.GinkgoT().TempDir(), "quarantine"), nil })

	// start returns a leading control VM with the file, which keeps its quarantine
	// there until the spec ends.
	start := func() *Server {
		opts := newTestServer(newFakeLister()).opts
		opts.QuarantineFile = path
		if logger != nil {
			opts.Logger = logger
		}
		s := NewServer(opts)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			s.keepQuarantine(ctx)
		}()
		ginkgo.DeferCleanup(func() {
			cancel()
			<-ended
		})
		return s
	}
	report := func(s *Server, r quarantine.Report) {
		s.touchWatcher(time.Now(), &watchCall{From: EntryVM{Addr: "e", Zone: "z"}, Report: &r})
		s.updateRoster(time.Now())
	}
	recalled := func() []quarantine.Quarantined { return start().recalled }

	// Guards against a part that ends several engines again after all VMs were lost.
	ginkgo.It("lets the quarantine go on after the loss of all VMs, and its end too", func() {
		s := start()
		var r quarantine.Report
		for _, runner := range []string{"r1", "r2", "r3"} {
			r.Crashes = append(r.Crashes, quarantine.Crash{Runner: runner, Parts: []quarantine.Part{9, 4}})
		}
		report(s, r)
		Eventually(recalled).WithTimeout(eventTimeout).Should(Equal([]quarantine.Quarantined{{Part: 4}, {Part: 9}}))

		s = start()
		s.updateRoster(time.Now())
		Expect(s.lists.quarantined()).To(Equal([]quarantine.Quarantined{{Part: 4}, {Part: 9}}))
		report(s, quarantine.Report{Answered: []quarantine.Part{4, 9}})
		Eventually(recalled).WithTimeout(eventTimeout).Should(BeEmpty())
	})

	ginkgo.It("is reported for some time after a start only", func() {
		Expect((&Server{opts: ServerOptions{QuarantineFile: path}}).writeQuarantine([]quarantine.Quarantined{{Part: 4, Failed: 2}})).To(Succeed())
		s := start()
		s.updateRoster(s.recallUntil.Add(time.Millisecond))
		Expect(s.lists.quarantined()).To(BeEmpty())
	})

	// Guards against a control VM that starts alone and forgets what it had kept.
	ginkgo.It("stays as it is until a leader has published its quarantine", func() {
		Expect((&Server{opts: ServerOptions{QuarantineFile: path}}).writeQuarantine([]quarantine.Quarantined{{Part: 4, Failed: 2}})).To(Succeed())
		s := start()
		s.lists.putEntries(time.Now(), []EntryVM{{Addr: "e", Zone: "z"}})
		Consistently(recalled).WithTimeout(300 * time.Millisecond).Should(Equal([]quarantine.Quarantined{{Part: 4, Failed: 2}}))
	})

	// Guards against a quarantine that is lost because the disk was full when it
	// changed last.
	ginkgo.It("is written again after a failure, without another change", func() {
		folder := filepath.Dir(path)
		path = filepath.Join(folder, "folder", "quarantine")
		lines := make(chan string, 100)
		logger = &log.Logger{Writer: &log.IOWriter{Writer: lineWriter(lines)}}
		s := start()
		report(s, quarantine.Report{Quarantined: []quarantine.Quarantined{{Part: 4, Failed: 2}}})
		Eventually(lines).WithTimeout(eventTimeout).Should(Receive(ContainSubstring("cannot be kept")))
		logger = nil
		Expect(os.Mkdir(filepath.Join(folder, "folder"), 0o700)).To(Succeed())
		Eventually(recalled).WithTimeout(eventTimeout).Should(Equal([]quarantine.Quarantined{{Part: 4, Failed: 2}}))
	})

	ginkgo.It("does not keep a control VM from starting when it is damaged or cannot be written", func() {
		Expect(os.WriteFile(path, []byte("damaged"), 0o600)).To(Succeed())
		s := start()
		Expect(s.recalled).To(BeEmpty())
		path = filepath.Join(path, "no folder")
		s = start()
		report(s, quarantine.Report{Quarantined: []quarantine.Quarantined{{Part: 4, Failed: 2}}})
		Expect(s.lists.quarantined()).To(Equal([]quarantine.Quarantined{{Part: 4, Failed: 2}}))
	})
})
