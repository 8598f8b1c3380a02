package e2e_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"damaskbridge.example/damaskbridge/admin"
	"damaskbridge.example/damaskbridge/ctl"
	"damaskbridge.example/damaskbridge/e2e"
	"damaskbridge.example/damaskbridge/load"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/sample"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// partitionTime is the length of a silent partition: several elections, and
// longer than the settings lease and the session expiry.
const partitionTime = 10 * time.Second

// startLinked starts the system of startSystem with a relay on every link.
func startLinked(ctx context.Context) (*e2e.System, *sample.Deployment) {
	d, err := sample.ByName("guild")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	s, err := e2e.Start(ctx, e2e.Options{Deployment: d, Controls: 3, Entries: 3, Binaries: binaries, Dir: ginkgo.GinkgoT().TempDir(), Links: true})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(s.Close)
	return s, d
}

func controlName(i int) string { return fmt.Sprintf("control-%d", i+1) }

// operatorAt returns a client of these control VMs only.
func operatorAt(s *e2e.System, controls ...int) *ctl.Client {
	c := s.Operator()
	all := c.Addrs
	c.Addrs = nil
	for _, i := range controls {
		c.Addrs = append(c.Addrs, all[i])
	}
	return c
}

// others returns the indexes of all control VMs but one.
func others(i int) []int { return []int{(i + 1) % 3, (i + 2) % 3} }

func statusAt(ctx context.Context, s *e2e.System, controls ...int) admin.Status {
	ginkgo.GinkgoHelper()
	var st admin.Status
	gomega.Expect(operatorAt(s, controls...).Get(ctx, "/v1/status", nil, &st)).To(gomega.Succeed())
	return st
}

// change applies a change through these control VMs and gives its version.
func change(ctx context.Context, s *e2e.System, id string, seconds int, controls ...int) uint64 {
	ginkgo.GinkgoHelper()
	c := operatorAt(s, controls...)
	v, err := c.CurrentVersion(ctx)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	reply, err := c.ApplyDocument(ctx, id, v.Version, "d.yaml", setDeadline(seconds))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return reply.Version
}

// get returns the status code and the body of the response to a GET.
func get(ctx context.Context, url string) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, "", err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return res.StatusCode, string(body), err
}

// ready returns the status code of a VM's readiness check.
func ready(ctx context.Context, base string) func() (int, error) {
	return func() (int, error) {
		code, _, err := get(ctx, base+"/readyz")
		return code, err
	}
}

// metric reads one metric of a VM.
func metric(ctx context.Context, base, name string) (uint64, error) {
	_, body, err := get(ctx, base+"/metrics")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(body) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return strconv.ParseUint(strings.TrimSpace(value), 10, 64)
		}
	}
	return 0, fmt.Errorf("no metric %s", name)
}

// ownVersion reads the settings version that a control VM itself has applied,
// whether or not a leader confirms it.
func ownVersion(ctx context.Context, s *e2e.System, control int) (uint64, error) {
	return metric(ctx, s.AdminURLs()[control], "damask_control_settings_version")
}

// lookup sends a repeatable request to an entry VM. It gives the problem of
// the response, nil if the request was answered.
func lookup(ctx context.Context, s *e2e.System, d *sample.Deployment, entry int) (*problem.Problem, error) {
	ginkgo.GinkgoHelper()
	for i := range d.Mix {
		p := &d.Mix[i]
		if p.Kind != load.KindLookup {
			continue
		}
		url := s.Targets()[entry].URL + "/v1/services/" + p.Target + "/" + p.Op
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(`{"note": "partition"}`))
		if err != nil {
			return nil, err
		}
		req.Header.Set("Authorization", "Bearer "+d.Workspaces[0].Token)
		req.Header.Set("Content-Type", "application/json")
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return nil, err
		}
		defer func() { _ = res.Body.Close() }()
		if res.StatusCode == http.StatusOK {
			return nil, nil
		}
		out := &problem.Problem{}
		return out, json.NewDecoder(res.Body).Decode(out)
	}
	return nil, errors.New("the mix has no lookup")
}

// inForce returns the settings version that an entry VM has confirmed.
func inForce(ctx context.Context, s *e2e.System, vm string) func() (uint64, error) {
	return func() (uint64, error) {
		var st admin.Status
		if err := s.Operator().Get(ctx, "/v1/status", nil, &st); err != nil {
			return 0, err
		}
		for _, e := range st.Entries {
			if string(e.VM) == vm {
				return e.SettingsVersion, nil
			}
		}
		return 0, fmt.Errorf("%s has no open session", vm)
	}
}

// eventually polls until the spec's context ends.
func eventually(ctx context.Context, f any) gomega.AsyncAssertion {
	return gomega.Eventually(f).WithContext(ctx).WithTimeout(patience).WithPolling(100 * time.Millisecond)
}

var _ = ginkgo.Describe("faults of the network between processes", func() {
	var ctx context.Context
	ginkgo.BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), patience)
		ginkgo.DeferCleanup(cancel)
	})

	// Guards against a cut-off leader that goes on to lead or to answer with
	// old settings, and against one that forces an election on its return.
	ginkgo.It("replaces a silently partitioned leader, which rejoins without an election", func() {
		s, d := startLinked(ctx)
		reports := startLoad(ctx, s, d, faultRate, partitionTime+4*time.Second)
		old := leaderIndex(ctx, s)
		rest := others(old)
		before := statusAt(ctx, s, old)
		s.Isolate(controlName(old))
		length := time.NewTimer(partitionTime)
		eventually(ctx, func() (string, error) {
			var st admin.Status
			err := operatorAt(s, rest...).Get(ctx, "/v1/status", nil, &st)
			return string(st.Leader), err
		}).Should(gomega.BeElementOf(controlName(rest[0]), controlName(rest[1])))
		changed := change(ctx, s, "while-partitioned", 7, rest...)
		gomega.Expect(changed).To(gomega.BeNumerically(">", before.Version))
		elected := statusAt(ctx, s, rest...)
		gomega.Expect(elected.Term).To(gomega.BeNumerically(">", before.Term))

		last := uint64(0)
		neverBack := func() error {
			v, err := ownVersion(ctx, s, old)
			if err == nil && v < last {
				err = fmt.Errorf("the settings went back from version %d to %d", last, v)
			}
			last = max(last, v)
			return err
		}
		for partitioned := true; partitioned; {
			gomega.Expect(neverBack()).To(gomega.Succeed())
			gomega.Expect(last).To(gomega.Equal(before.Version), "the partition lets nothing through")
			short, cancel := context.WithTimeout(ctx, time.Second)
			v, err := operatorAt(s, old).CurrentVersion(short)
			cancel()
			gomega.Expect(err).To(gomega.HaveOccurred(), "the old leader answered version %d", v.Version)
			select {
			case <-length.C:
				partitioned = false
			default:
			}
		}
		s.Heal()
		eventually(ctx, func() (uint64, error) { return last, neverBack() }).Should(gomega.Equal(changed))
		intact(<-reports)
		gomega.Expect(neverBack()).To(gomega.Succeed())
		for i := range 3 {
			after := statusAt(ctx, s, i)
			gomega.Expect(after.Leader).To(gomega.Equal(elected.Leader))
			gomega.Expect(after.Term).To(gomega.Equal(elected.Term), "the return forces no election")
		}
		ginkgo.GinkgoWriter.Printf("term %d, after the election %d\n", before.Term, elected.Term)
	})

	// Guards against an entry VM that serves old settings while a newer
	// version is said to be in effect everywhere, and against one isolated VM
	// that holds changes up for good.
	ginkgo.It("has an isolated entry VM refuse, and lets changes take effect without it", func() {
		s, d := startLinked(ctx)
		reports := startLoad(ctx, s, d, faultRate, faultTime)
		base := version(ctx, s)
		s.Isolate("entry-1")
		file := filepath.Join(ginkgo.GinkgoT().TempDir(), "d.yaml")
		gomega.Expect(os.WriteFile(file, setDeadline(7), 0o600)).To(gomega.Succeed())
		out, err := s.Ctl(ctx, "apply", "-f", file, "-id", "while-isolated", "-wait")
		gomega.Expect(err).NotTo(gomega.HaveOccurred(), out)
		// The version is in effect, so a VM without it has no lease any more.
		refusal, err := lookup(ctx, s, d, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(refusal).NotTo(gomega.BeNil(), "the isolated VM has served old settings")
		gomega.Expect(refusal.Reason).To(gomega.Equal(problem.SettingsStale))
		gomega.Expect(refusal.Execution).To(gomega.Equal(problem.NotRun))
		gomega.Expect(ready(ctx, s.Targets()[0].URL)()).To(gomega.Equal(http.StatusServiceUnavailable))
		for i := 1; i < 3; i++ {
			eventually(ctx, ready(ctx, s.Targets()[i].URL)).Should(gomega.Equal(http.StatusOK))
			eventually(ctx, func() (*problem.Problem, error) { return lookup(ctx, s, d, i) }).Should(gomega.BeNil())
		}
		newest := version(ctx, s)
		gomega.Expect(newest).To(gomega.BeNumerically(">", base))
		intact(<-reports)
		gomega.Expect(ready(ctx, s.Targets()[0].URL)()).To(gomega.Equal(http.StatusServiceUnavailable))
		s.Heal()
		eventually(ctx, inForce(ctx, s, "entry-1")).Should(gomega.Equal(newest))
		eventually(ctx, ready(ctx, s.Targets()[0].URL)).Should(gomega.Equal(http.StatusOK))
		gomega.Expect(lookup(ctx, s, d, 0)).To(gomega.BeNil())
	})

	// Guards against a follower with a link that works in one direction only
	// that unseats the leader, or that stays behind afterwards. Calls need both
	// directions, so the follower reports not ready in either case.
	asymmetric := func(isDeaf bool) {
		s, d := startLinked(ctx)
		reports := startLoad(ctx, s, d, faultRate, faultTime)
		leader := leaderIndex(ctx, s)
		follower, third := others(leader)[0], others(leader)[1]
		before := statusAt(ctx, s, leader)
		if isDeaf {
			s.Cut(controlName(leader), controlName(follower))
		} else {
			s.Cut(controlName(follower), controlName(leader))
		}
		eventually(ctx, ready(ctx, s.AdminURLs()[follower])).Should(gomega.Equal(http.StatusServiceUnavailable))
		changed := change(ctx, s, "while-asymmetric", 7, leader, third)
		intact(<-reports)
		if isDeaf {
			gomega.Expect(ownVersion(ctx, s, follower)).To(gomega.Equal(before.Version), "the cut lets nothing through")
		}
		during := statusAt(ctx, s, leader)
		gomega.Expect(during.Leader).To(gomega.Equal(before.Leader))
		gomega.Expect(during.Term).To(gomega.Equal(before.Term))
		s.Heal()
		eventually(ctx, ready(ctx, s.AdminURLs()[follower])).Should(gomega.Equal(http.StatusOK))
		eventually(ctx, func() (uint64, error) { return ownVersion(ctx, s, follower) }).Should(gomega.Equal(changed))
		for i := range 3 {
			after := statusAt(ctx, s, i)
			gomega.Expect(after.Leader).To(gomega.Equal(before.Leader))
			gomega.Expect(after.Term).To(gomega.Equal(before.Term))
		}
	}
	ginkgo.It("keeps a leader that hears nothing from one follower", func() {
		asymmetric(false)
	})
	ginkgo.It("keeps a leader that one follower does not hear", func() {
		asymmetric(true)
	})

	// Guards against an entry VM that takes a dead connection for a dead
	// control VM, or that waits on it for good.
	ginkgo.It("has an entry VM go on over new connections when all present ones froze", func() {
		s, d := startLinked(ctx)
		reports := startLoad(ctx, s, d, faultRate, faultTime)
		frozen := 0
		for i := range 3 {
			frozen += s.Freeze("entry-1", controlName(i))
		}
		gomega.Expect(frozen).To(gomega.BeNumerically(">", 0))
		changed := change(ctx, s, "after-freeze", 7, 0, 1, 2)
		waited, err := s.Operator().WaitInEffect(ctx, changed)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(waited.Done).To(gomega.BeTrue())
		// The old flows never carry a packet again, so only a new connection
		// brings the change.
		eventually(ctx, inForce(ctx, s, "entry-1")).Should(gomega.Equal(changed))
		eventually(ctx, ready(ctx, s.Targets()[0].URL)).Should(gomega.Equal(http.StatusOK))
		eventually(ctx, func() (*problem.Problem, error) { return lookup(ctx, s, d, 0) }).Should(gomega.BeNil())
		intact(<-reports)
	})

	// Guards against a client that keeps a silent connection because each call
	// on it ends before the silence is noticed. There is no other control VM
	// to move on to.
	ginkgo.It("has an entry VM replace a frozen connection to the only control VM that it reaches", func() {
		s, d := startLinked(ctx)
		reports := startLoad(ctx, s, d, faultRate, faultTime)
		s.CutBoth("entry-1", controlName(1))
		s.CutBoth("entry-1", controlName(2))
		eventually(ctx, func() int { return s.Freeze("entry-1", controlName(0)) }).Should(gomega.BeNumerically(">", 0))
		changed := change(ctx, s, "after-freeze", 7, 0, 1, 2)
		eventually(ctx, inForce(ctx, s, "entry-1")).Should(gomega.Equal(changed))
		eventually(ctx, ready(ctx, s.Targets()[0].URL)).Should(gomega.Equal(http.StatusOK))
		eventually(ctx, func() (*problem.Problem, error) { return lookup(ctx, s, d, 0) }).Should(gomega.BeNil())
		silent, err := metric(ctx, s.Targets()[0].URL, "damask_transport_connections_closed_silent_total")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(silent).To(gomega.BeNumerically(">", 0))
		intact(<-reports)
	})
})
