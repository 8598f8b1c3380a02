package e2e_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/admin"
	"damaskbridge.example/damaskbridge/e2e"
	"damaskbridge.example/damaskbridge/load"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// faultRate and faultTime are the load beside a fault.
const (
	faultRate = 20
	faultTime = 8 * time.Second
	patience  = 2 * time.Minute
)

// intact checks what must hold under any fault: nothing runs twice, nothing
// confirmed is lost, no answer is another request's, and not_run is true.
func intact(r *load.Report) {
	ginkgo.GinkgoHelper()
	gomega.Expect(r).NotTo(gomega.BeNil(), "the load has failed")
	gomega.Expect(r.DuplicateKeys).To(gomega.BeEmpty())
	gomega.Expect(r.LostKeys).To(gomega.BeEmpty())
	gomega.Expect(r.FalseRefusals).To(gomega.BeZero(), "%v", r.Notes)
	gomega.Expect(r.Outcomes[load.Wrong]).To(gomega.BeZero(), "%v", r.Notes)
	gomega.Expect(r.Outcomes[load.RefusedFalse]).To(gomega.BeZero(), "%v", r.Notes)
}

// version returns the settings version that the control VMs serve.
func version(ctx context.Context, s *e2e.System) uint64 {
	ginkgo.GinkgoHelper()
	v, err := s.Operator().CurrentVersion(ctx)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return v.Version
}

// setDeadline is a document that makes a change of one value.
func setDeadline(seconds int) []byte {
	return fmt.Appendf(nil, "branches:\n  guild:\n    deadline.default: %ds\n", seconds)
}

var _ = ginkgo.Describe("faults of processes", func() {
	var ctx context.Context
	ginkgo.BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), patience)
		ginkgo.DeferCleanup(cancel)
	})

	ginkgo.It("accounts for the requests of a killed entry VM, twice in a row", func() {
		s, d := startSystem(ctx)
		reports := startLoad(ctx, s, d, faultRate, faultTime)
		for range 2 {
			gomega.Expect(s.KillEntry(0)).To(gomega.Succeed())
			gomega.Expect(s.StartEntry(ctx, 0)).To(gomega.Succeed())
		}
		intact(<-reports)
		var left admin.UnaccountedReply
		gomega.Expect(s.Operator().Get(ctx, "/v1/audit/unaccounted", nil, &left)).To(gomega.Succeed())
		gomega.Expect(left.Complete).To(gomega.BeTrue())
		gomega.Expect(left.Sessions).To(gomega.HaveLen(2), "both lost lives of entry-1 are listed")
		for _, session := range left.Sessions {
			for _, id := range session.WithoutEnd {
				var a admin.RequestAuditReply
				gomega.Expect(s.Operator().Get(ctx, "/v1/audit/requests/"+id.String(), nil, &a)).To(gomega.Succeed())
				gomega.Expect(string(a.Summary.Execution)).NotTo(gomega.Equal("ran"), "an end that nobody saw is not claimed")
			}
		}
	})

	ginkgo.It("serves on after the kill of each control VM in turn", func() {
		s, d := startSystem(ctx)
		reports := startLoad(ctx, s, d, faultRate, faultTime)
		for i := range 3 {
			gomega.Expect(s.KillControl(i)).To(gomega.Succeed())
			gomega.Expect(s.StartControl(ctx, i)).To(gomega.Succeed())
		}
		intact(<-reports)
	})

	ginkgo.It("keeps settings and keys when all control VMs are killed at once", func() {
		s, d := startSystem(ctx)
		before := version(ctx, s)
		intact(<-startLoad(ctx, s, d, faultRate, 2*time.Second))
		for i := range 3 {
			gomega.Expect(s.KillControl(i)).To(gomega.Succeed())
		}
		var all sync.WaitGroup
		for i := range 3 {
			all.Go(func() {
				defer ginkgo.GinkgoRecover()
				gomega.Expect(s.StartControl(ctx, i)).To(gomega.Succeed())
			})
		}
		all.Wait()
		gomega.Expect(version(ctx, s)).To(gomega.Equal(before))
		intact(<-startLoad(ctx, s, d, faultRate, 2*time.Second))
	})

	ginkgo.It("survives the loss of one disk and of a second VM right after the repair", func() {
		s, d := startSystem(ctx)
		reports := startLoad(ctx, s, d, faultRate, faultTime)
		before := version(ctx, s)
		gomega.Expect(s.KillControl(0)).To(gomega.Succeed())
		gomega.Expect(s.LoseDisk(0)).To(gomega.Succeed())
		gomega.Expect(s.StartControl(ctx, 0)).To(gomega.Succeed())
		gomega.Eventually(func() error { return allVoters(ctx, s) }).WithContext(ctx).WithTimeout(patience).Should(gomega.Succeed())
		gomega.Expect(s.KillControl(1)).To(gomega.Succeed())
		gomega.Eventually(func() (uint64, error) {
			v, err := s.Operator().CurrentVersion(ctx)
			return v.Version, err
		}).WithContext(ctx).WithTimeout(patience).Should(gomega.Equal(before))
		gomega.Expect(s.StartControl(ctx, 1)).To(gomega.Succeed())
		intact(<-reports)
	})

	ginkgo.It("keeps a frozen entry VM from dispatching late, and serves it again", func() {
		s, d := startSystem(ctx)
		reports := startLoad(ctx, s, d, faultRate, faultTime)
		gomega.Expect(s.FreezeEntry(0)).To(gomega.Succeed())
		frozen := time.NewTimer(6 * time.Second) // longer than the lease and the session expiry
		<-frozen.C
		gomega.Expect(s.ThawEntry(0)).To(gomega.Succeed())
		intact(<-reports)
	})

	ginkgo.It("elects another leader when the leader is frozen, and takes it back", func() {
		s, d := startSystem(ctx)
		reports := startLoad(ctx, s, d, faultRate, faultTime)
		leader := leaderIndex(ctx, s)
		gomega.Expect(s.FreezeControl(leader)).To(gomega.Succeed())
		before := version(ctx, s)
		reply, err := s.Operator().ApplyDocument(ctx, "while-frozen", before, "d.yaml", setDeadline(7))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s.ThawControl(leader)).To(gomega.Succeed())
		gomega.Expect(version(ctx, s)).To(gomega.BeNumerically(">=", reply.Version))
		waited, err := s.Operator().WaitInEffect(ctx, reply.Version)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(waited.Done).To(gomega.BeTrue())
		intact(<-reports)
	})

	ginkgo.It("lets exactly one of racing operators win, also after resends and a restart", func() {
		s, _ := startSystem(ctx)
		base := version(ctx, s)
		const operators = 6
		type outcome struct {
			id      string
			version uint64
			err     error
		}
		results := make(chan outcome, operators)
		for i := range operators {
			go func() {
				id := fmt.Sprintf("race-%d", i)
				reply, err := s.Operator().ApplyDocument(ctx, id, base, "d.yaml", setDeadline(3+i))
				results <- outcome{id, reply.Version, err}
			}()
		}
		var winner outcome
		won := 0
		for range operators {
			if r := <-results; r.err == nil {
				won++
				winner = r
			}
		}
		gomega.Expect(won).To(gomega.Equal(1))
		for i := range 20 {
			v := version(ctx, s)
			_, err := s.Operator().ApplyDocument(ctx, fmt.Sprintf("later-%d", i), v, "d.yaml", setDeadline(10+i))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		for i := range 3 {
			gomega.Expect(s.RestartControl(ctx, i)).To(gomega.Succeed())
		}
		again, err := s.Operator().ApplyDocument(ctx, winner.id, base, "d.yaml", setDeadline(3))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(again.Version).To(gomega.Equal(winner.version), "a resend gets its first result")
	})
})

// leaderIndex returns the index of the leading control VM.
func leaderIndex(ctx context.Context, s *e2e.System) int {
	ginkgo.GinkgoHelper()
	var st admin.Status
	gomega.Expect(s.Operator().Get(ctx, "/v1/status", nil, &st)).To(gomega.Succeed())
	for i := range 3 {
		if string(st.Leader) == fmt.Sprintf("control-%d", i+1) {
			return i
		}
	}
	ginkgo.Fail("no leader in " + fmt.Sprint(st))
	return 0
}

// allVoters says whether every control VM is a voter again.
func allVoters(ctx context.Context, s *e2e.System) error {
	var st admin.Status
	if err := s.Operator().Get(ctx, "/v1/status", nil, &st); err != nil {
		return err
	}
	if len(st.Control) != 3 {
		return fmt.Errorf("%d replicas", len(st.Control))
	}
	for _, c := range st.Control {
		if c.Role == "learner" {
			return errors.New("a replica is still a learner")
		}
	}
	return nil
}
