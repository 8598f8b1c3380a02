package controlvm

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"damaskbridge.example/damaskbridge/admin"
	"damaskbridge.example/damaskbridge/audit"
	"damaskbridge.example/damaskbridge/control"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/keys"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/transport"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestControlVM(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "controlvm")
}

const (
	operatorToken = "dbo_test"
	// eventTimeout is the longest wait for an election or a drain.
	eventTimeout = 30 * time.Second

	testDocument = `
pools:
  - {name: bookings, kind: service}
services:
  - {name: bookings, pool: bookings, repeatable_ops: [lookup]}
`
)

// testOptions returns the options of a group with one voter on loopback.
func testOptions(dir string) Options {
	all, err := keys.NewEphemeral(transport.Peer{VM: "control-1", Role: transport.RoleControl})
	Expect(err).NotTo(HaveOccurred())
	free, err := net.ListenPacket("udp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	addr := free.LocalAddr().String()
	Expect(free.Close()).To(Succeed())
	operators, err := admin.NewOperators([]admin.Operator{{Name: "operator", TokenSHA256: []string{keys.TokenDigest(operatorToken)}}})
	Expect(err).NotTo(HaveOccurred())
	return Options{
		VM: "control-1", Region: "one", Listen: addr, Admin: "127.0.0.1:0", Data: dir,
		Peers:     []control.Peer{{VM: "control-1", Region: "one", Addr: addr, Voter: true}},
		Creds:     all["control-1"],
		Operators: operators,
	}
}

// startVM starts a VM and waits until it is ready.
func startVM(o Options) *VM {
	v, err := Start(o)
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(v.Close)
	Eventually(v.Ready).WithTimeout(eventTimeout).Should(Succeed())
	return v
}

// drainVM drains a VM and stops it.
func drainVM(v *VM) {
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	Expect(v.Drain(ctx)).To(Succeed())
}

// callAdmin calls the admin API, decodes the reply into out and returns the HTTP
// status.
func callAdmin(v *VM, method, path, token, body string, out any) int {
	req, err := http.NewRequest(method, "http://"+v.AdminAddr()+path, bytes.NewReader([]byte(body)))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("Content-Type", "application/yaml")
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(json.Unmarshal(raw, out)).To(Succeed(), string(raw))
	return resp.StatusCode
}

func get(v *VM, path string, out any) int {
	return callAdmin(v, http.MethodGet, path, operatorToken, "", out)
}

func applyDocument(v *VM, id string) admin.ChangeReply {
	var reply admin.ChangeReply
	Expect(callAdmin(v, http.MethodPost, "/v1/changes?id="+id+"&base=0", operatorToken, testDocument, &reply)).To(Equal(http.StatusOK))
	return reply
}

var _ = ginkgo.Describe("a control VM with one voter", func() {
	ginkgo.It("keeps the accepted version, the change IDs and the audit chain across a restart", func() {
		o := testOptions(ginkgo.GinkgoT().TempDir())
		v := startVM(o)
		first := applyDocument(v, "first")
		Expect(first.State).To(Equal(settings.Accepted))
		session := ids.SessionID{VM: "entry-1", Incarnation: 1}
		record := audit.Record{Kind: audit.Begin, Request: ids.RequestID{Session: session, Seq: 1}, AtUnixMS: 1, Workspace: "house"}
		Expect(v.store.Append(session, audit.Batch{Number: 1, Records: []audit.Record{record}})).To(Succeed())
		var chain audit.Report
		Expect(get(v, "/v1/audit/verify", &chain)).To(Equal(http.StatusOK))
		Expect(chain.Records).To(Equal(uint64(1)))
		var before admin.DocumentReply
		Expect(get(v, "/v1/document", &before)).To(Equal(http.StatusOK))
		drainVM(v)

		again := startVM(o)
		var version admin.VersionReply
		Expect(get(again, "/v1/version", &version)).To(Equal(http.StatusOK))
		Expect(version.Version).To(Equal(first.Version))
		var after admin.DocumentReply
		Expect(get(again, "/v1/document", &after)).To(Equal(http.StatusOK))
		Expect(after).To(Equal(before))
		var kept audit.Report
		Expect(get(again, "/v1/audit/verify", &kept)).To(Equal(http.StatusOK))
		Expect(kept.Records).To(Equal(chain.Records))
		Expect(kept.Head).To(Equal(chain.Head))
		Expect(applyDocument(again, "first").Version).To(Equal(first.Version), "a repeated change gets its first result")
	})

	ginkgo.It("reports a request whose ID was never reserved as not run", func() {
		v := startVM(testOptions(ginkgo.GinkgoT().TempDir()))
		var account admin.RequestAuditReply
		Expect(get(v, "/v1/audit/requests/entry-9.5.7", &account)).To(Equal(http.StatusOK))
		Expect(account.Summary.Verdict).To(Equal(audit.VerdictNotReserved))
		Expect(account.Summary.Execution).To(Equal(problem.NotRun))
		Expect(account.Records).To(BeEmpty())
		Expect(account.Complete).To(BeTrue())
		var p problem.Problem
		Expect(get(v, "/v1/audit/requests/entry-9", &p)).To(Equal(http.StatusBadRequest))
		Expect(p.Reason).To(Equal(problem.BadRequest))
		var open admin.UnaccountedReply
		Expect(get(v, "/v1/audit/unaccounted", &open)).To(Equal(http.StatusOK))
		Expect(open).To(Equal(admin.UnaccountedReply{Sessions: []audit.UnaccountedReport{}, Complete: true}))
	})

	ginkgo.It("serves neither settings nor the audit log without an operator's token", func() {
		v := startVM(testOptions(ginkgo.GinkgoT().TempDir()))
		for _, path := range []string{"/v1/version", "/v1/audit/verify", "/v1/audit/unaccounted", "/v1/audit/requests/entry-9.5.7", "/v1/none"} {
			var p problem.Problem
			Expect(callAdmin(v, http.MethodGet, path, "wrong", "", &p)).To(Equal(http.StatusUnauthorized), path)
			Expect(p.Reason).To(Equal(problem.Unauthenticated), path)
		}
	})

	ginkgo.It("detects a changed byte of the audit log on disk", func() {
		o := testOptions(ginkgo.GinkgoT().TempDir())
		v := startVM(o)
		session := ids.SessionID{VM: "entry-1", Incarnation: 1}
		for n := uint64(1); n <= 3; n++ {
			record := audit.Record{Kind: audit.Begin, Request: ids.RequestID{Session: session, Seq: n}, AtUnixMS: 1, Workspace: "house"}
			Expect(v.store.Append(session, audit.Batch{Number: n, Records: []audit.Record{record}})).To(Succeed())
		}
		files, err := filepath.Glob(filepath.Join(o.Data, "audit", "*.audit"))
		Expect(err).NotTo(HaveOccurred())
		Expect(files).To(HaveLen(1), "all records are in one segment")
		raw, err := os.ReadFile(files[0])
		Expect(err).NotTo(HaveOccurred())
		raw[len(raw)/2] ^= 1
		Expect(os.WriteFile(files[0], raw, 0o600)).To(Succeed())
		var p problem.Problem
		Expect(get(v, "/v1/audit/verify", &p)).To(BeNumerically(">=", http.StatusInternalServerError))
		Expect(p.Detail).To(ContainSubstring("audit"))
	})

	ginkgo.DescribeTable("fails to start with an error that names the missing or unusable option",
		func(remove func(*Options), want string) {
			o := testOptions(ginkgo.GinkgoT().TempDir())
			remove(&o)
			_, err := Start(o)
			Expect(err).To(MatchError(ContainSubstring(want)))
		},
		ginkgo.Entry("VM", func(o *Options) { o.VM = "" }, "VM is empty"),
		ginkgo.Entry("listen address", func(o *Options) { o.Admin = "" }, "listen address is empty"),
		ginkgo.Entry("data folder", func(o *Options) { o.Data = "" }, "data folder is empty"),
		ginkgo.Entry("peers", func(o *Options) { o.Peers = nil }, "no control VMs"),
		ginkgo.Entry("credentials", func(o *Options) { o.Creds = nil }, "no credentials"),
		ginkgo.Entry("operators' address in use", func(o *Options) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			ginkgo.DeferCleanup(l.Close)
			o.Admin = l.Addr().String()
		}, "choose a free address"),
	)
})
