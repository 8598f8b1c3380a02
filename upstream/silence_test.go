package upstream

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a watched call whose runner is silent", func() {
	// Guards against a call that fails although its runner is sound and goes on.
	It("is reported and goes on", func() {
		silent := make(chan struct{})
		addr, _ := startRunner(func(w http.ResponseWriter, _ *http.Request) {
			<-silent
			_, _ = w.Write([]byte("late"))
		})
		client := NewClient(Options{ProgressTimeout: 10 * time.Millisecond})
		DeferCleanup(client.Close)
		a := testAttempt()
		var reports atomic.Int64
		a.OnSilent = func() {
			if reports.Add(1) == 3 {
				close(silent)
			}
		}
		got, err := client.Service(context.Background(), addr, a, ServiceCall{Op: "lookup"})
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Body).To(BeEquivalentTo("late"))
	})

	// Guards against calls that follow over connections which are silent as well.
	It("closes the runner's idle connections", func() {
		var both sync.WaitGroup
		both.Add(2)
		seen := make(chan string, 4)
		release := make(chan struct{})
		addr, calls := startRunner(func(_ http.ResponseWriter, r *http.Request) {
			seen <- r.RemoteAddr
			switch r.URL.Path {
			case "/call/both":
				both.Done()
				both.Wait()
			case "/call/silent":
				<-release
			}
		})
		client := NewClient(Options{ProgressTimeout: time.Minute})
		DeferCleanup(client.Close)
		a := testAttempt()
		call := func(op string, onSilent func()) {
			defer GinkgoRecover()
			a := a
			a.OnSilent = onSilent
			_, err := client.Service(context.Background(), addr, a, ServiceCall{Op: op})
			Expect(err).NotTo(HaveOccurred())
		}
		var opened sync.WaitGroup
		for range 2 {
			opened.Go(func() { call("both", func() {}) })
		}
		opened.Wait()
		before := []string{<-seen, <-seen}
		client.SetProgressTimeout(10 * time.Millisecond)
		var once sync.Once
		call("silent", func() {
			once.Do(func() {
				call("next", func() {})
				close(release)
			})
		})
		Expect(calls.Load()).To(BeEquivalentTo(4))
		Expect(before).To(ContainElement(<-seen))
		Expect(before).NotTo(ContainElement(<-seen))
	})
})
