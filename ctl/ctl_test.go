package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/admin"
	"damaskbridge.example/damaskbridge/audit"
	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/keys"
	"damaskbridge.example/damaskbridge/machine"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/settings"
)

func TestCtl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ctl")
}

// backend implements the admin backend on a single state machine without
// replication.
type backend struct {
	mu      sync.Mutex
	machine *machine.Machine
	index   uint64
}

func (b *backend) Propose(_ context.Context, c command.Command) (command.Result, error) {
	data, err := command.Encode(&c)
	if err != nil {
		return command.Result{}, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.index++
	return b.machine.Apply(b.index, data), nil
}

func (b *backend) tree() *settings.Tree {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.machine.Tree()
}

func (b *backend) Tree(context.Context) (*settings.Tree, time.Duration, error) {
	return b.tree(), 0, nil
}

func (b *backend) WaitInEffect(context.Context, uint64) (uint64, error) {
	return b.tree().Version(), nil
}

func (b *backend) Status(context.Context) (admin.Status, error) {
	return admin.Status{
		VM: "c1", Leader: "c2", Control: []admin.ControlStatus{{VM: "c2", Role: "leader"}, {VM: "c1", Role: "follower"}},
		Entries: []admin.EntryStatus{{VM: "e2", Region: "r", SettingsVersion: 7}, {VM: "e1", SettingsVersion: 7, LeaseMS: 100, Draining: true}, {VM: "e0", LeaseMS: 100}},
	}, nil
}

func (b *backend) Drain(_ context.Context, vm ids.VMID) error {
	if vm != "e1" {
		return problem.New(problem.NotFound, problem.NotRun, "no session of %s is open", vm)
	}
	return nil
}

func (b *backend) Audit(_ context.Context, q admin.AuditQuery) (admin.AuditReply, error) {
	return admin.AuditReply{Records: []json.RawMessage{json.RawMessage(fmt.Sprintf(`{"request":%q}`, q.Request))}, Missing: []ids.VMID{"c3"}}, nil
}

// roundTripper adapts a function to http.RoundTripper.
type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

const document = "branches:\n  guild:\n    deadline.default: 4s\npools:\n  - {name: p, kind: encode}\n"

var _ = Describe("damaskctl", func() {
	var b *backend
	var api http.Handler
	// repliesToDrop is how many more replies to calls other than GET the servers drop
	// after executing the call.
	var repliesToDrop atomic.Int64
	var servers []*httptest.Server
	var file string
	var environ map[string]string

	BeforeEach(func() {
		b = &backend{machine: machine.New()}
		operators, err := admin.NewOperators([]admin.Operator{{Name: "ada", TokenSHA256: []string{keys.TokenDigest("secret")}}})
		Expect(err).NotTo(HaveOccurred())
		api = admin.New(b, operators)
		repliesToDrop.Store(0)
		lossy := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet || repliesToDrop.Add(-1) < 0 {
				api.ServeHTTP(w, r)
				return
			}
			api.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		})
		servers = []*httptest.Server{httptest.NewServer(lossy), httptest.NewServer(lossy)}
		DeferCleanup(func() {
			for _, s := range servers {
				s.Close()
			}
		})
		file = filepath.Join(GinkgoT().TempDir(), "d.yaml")
		Expect(os.WriteFile(file, []byte(document), 0o600)).To(Succeed())
		environ = map[string]string{"DAMASK_CONTROL": servers[0].URL + "," + servers[1].URL, "DAMASK_TOKEN": "secret"}
	})

	damaskctl := func(args ...string) (code int, stdout, stderr string) {
		var out, errs bytes.Buffer
		env := Env{Stdout: &out, Stderr: &errs, Getenv: func(k string) string { return environ[k] }, ReadFile: os.ReadFile}
		code = Main(context.Background(), args, env)
		return code, out.String(), errs.String()
	}

	It("resends a change with the same id to the next control VM if its reply is lost", func() {
		repliesToDrop.Store(1)
		code, out, errs := damaskctl("apply", "-f", file, "-id", "x1", "-wait")
		Expect(code).To(Equal(ExitOK), errs)
		Expect(out).To(ContainSubstring("change x1 is accepted, version 1"))
		Expect(out).To(ContainSubstring("in effect on every entry VM"))
		Expect(b.index).To(Equal(uint64(2)), "the change was proposed twice")
		Expect(b.machine.Tree().Version()).To(Equal(uint64(1)), "and applied once")
	})

	It("prints how to resend a change whose outcome is unknown", func() {
		repliesToDrop.Store(1 << 40)
		code, _, errs := damaskctl("apply", "-f", file, "-base", "0", "-timeout", "50ms")
		Expect(code).To(Equal(ExitFailed))
		Expect(errs).To(ContainSubstring("may have been accepted"))
		i := strings.Index(errs, "damaskctl apply")
		resend := strings.Fields(errs[i:])[1:8]
		Expect(resend).To(ContainElement("-id"))
		repliesToDrop.Store(0)
		code, out, errs := damaskctl(append(resend, "-json")...)
		Expect(code).To(Equal(ExitOK), errs)
		Expect(out).To(ContainSubstring(`"version": 1`))
	})

	It("prints the winning change of a conflict", func() {
		damaskctl("apply", "-f", file, "-id", "first")
		code, _, errs := damaskctl("apply", "-f", file, "-id", "second", "-base", "0")
		Expect(code).To(Equal(ExitConflict))
		Expect(errs).To(ContainSubstring(`"id": "first"`))
	})

	It("checks a document without a server and reports file and line of an error", func() {
		environ = nil
		code, out, _ := damaskctl("check", "-f", file)
		Expect(code).To(Equal(ExitOK))
		Expect(out).To(ContainSubstring("put_pool"))
		Expect(os.WriteFile(file, []byte(document+"pipelines:\n  - {name: q, stages: [{name: s, kind: rerank, pool: p}]}\n"), 0o600)).To(Succeed())
		code, _, errs := damaskctl("check", "-f", file)
		Expect(code).To(Equal(ExitInvalid))
		Expect(errs).To(ContainSubstring(file + `:7: pipeline "q", stage s`))
	})

	DescribeTable("output", func(want string, args ...string) {
		damaskctl("apply", "-f", file, "-id", "first")
		code, out, errs := damaskctl(args...)
		Expect(code).To(Equal(ExitOK), errs)
		Expect(out).To(ContainSubstring(want))
		if out[0] == '{' {
			Expect(json.Valid([]byte(out))).To(BeTrue())
		}
	},
		Entry(nil, "deadline.default  4s     duration  /guild  1", "get", "-branch", "guild/w", "-key", "deadline.default"),
		Entry(nil, `"value": "5s"`, "get", "-key", "deadline.default", "-json"),
		Entry(nil, `"kind": "encode"`, "get", "pool", "p"),
		Entry(nil, "1ms to 1h0m0s", "get", "-keys"),
		Entry(nil, "first", "history"),
		Entry(nil, "set /guild deadline.default and 1 more", "history", "-limit", "5"),
		Entry(nil, "draining", "status"),
		Entry(nil, `"leader": "c2"`, "status", "-json"),
		Entry(nil, "e1 is draining", "drain", "e1"),
		Entry(nil, `{"request":"e1.1.2"}`, "audit", "-request", "e1.1.2"),
		Entry(nil, "addresses, the token", "-check"),
		Entry(nil, "damaskctl", "-version"),
		Entry(nil, "SUBCOMMAND", "help"),
	)

	It("issues certificates and tokens, and connects over TLS with an operator's certificate", func() {
		dir := filepath.Join(GinkgoT().TempDir(), "ca")
		issue := func(vm, role string) string {
			code, out, errs := damaskctl("keys", "issue", "-dir", dir, "-vm", vm, "-role", role, "-addresses", "127.0.0.1", "-json")
			Expect(code).To(Equal(ExitOK), errs)
			var reply keysOutput
			Expect(json.Unmarshal([]byte(out), &reply)).To(Succeed())
			return reply.Folder
		}
		code, _, errs := damaskctl("keys", "init", "-dir", dir)
		Expect(code).To(Equal(ExitOK), errs)
		controlBundle, err := keys.Open(issue("c1", "control"))
		Expect(err).NotTo(HaveOccurred())
		tlsServer := httptest.NewUnstartedServer(api)
		tlsServer.TLS = admin.TLSConfig(controlBundle)
		tlsServer.StartTLS()
		defer tlsServer.Close()
		environ["DAMASK_CONTROL"] = tlsServer.URL
		code, out, errs := damaskctl("status", "-identity", issue("ada", "operator"))
		Expect(code).To(Equal(ExitOK), errs)
		Expect(out).To(ContainSubstring("leader c2"))
		expectRefused := func(identity, cause string) {
			o := options{control: tlsServer.URL, token: "secret", identity: identity}
			c, err := o.newClient(Env{ReadFile: os.ReadFile})
			Expect(err).NotTo(HaveOccurred())
			c.Pause = func(context.Context, time.Duration) error { return context.Canceled }
			_, err = c.CurrentVersion(context.Background())
			Expect(err).To(MatchError(ContainSubstring(cause)))
		}
		expectRefused(issue("e1", "entry"), "tls: bad certificate")
		expectRefused("", "failed to verify certificate")
		for _, step := range []string{"rotate", "renew", "retire"} {
			code, _, errs := damaskctl("keys", step, "-dir", dir)
			Expect(code).To(Equal(ExitOK), errs)
		}
		_, out, _ = damaskctl("keys", "token", "-kind", "operator", "-json")
		var token keysOutput
		Expect(json.Unmarshal([]byte(out), &token)).To(Succeed())
		environ["DAMASK_TOKEN"] = token.Token
		_, out, _ = damaskctl("keys", "digest")
		Expect(strings.TrimSpace(out)).To(Equal(token.SHA256))
		Expect(keys.TokenDigest(token.Token)).To(Equal(token.SHA256))
	})

	// Guards against an entry VM without a lease, which rejects requests, being
	// shown as serving traffic.
	It("lists control VMs and entry VMs by name, and shows that an entry VM has no lease", func() {
		_, out, _ := damaskctl("status")
		var rows []string
		for _, line := range strings.Split(out, "\n") {
			if f := strings.Fields(line); len(f) > 1 {
				rows = append(rows, f[0]+" "+f[len(f)-1])
			}
		}
		Expect(rows[1:]).To(Equal([]string{"CONTROL SILENT", "c1 0s", "c2 0s", "ENTRY STATE", "e0 serving", "e1 draining", "e2 lease-expired"}))
		Expect(out).To(MatchRegexp(`c2 +leader +- +0s`))
	})

	// scripted returns a client with one address per function, which answers
	// every attempt at that address. The client makes a single round.
	scripted := func(answers ...func(*http.Request) (*http.Response, error)) *Client {
		c := &Client{Token: "secret", Pause: func(context.Context, time.Duration) error { return context.Canceled }}
		for i := range answers {
			c.Addrs = append(c.Addrs, fmt.Sprintf("http://127.0.0.1:%d", i+1))
		}
		c.HTTP = &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
			var i int
			_, err := fmt.Sscanf(r.URL.Port(), "%d", &i)
			Expect(err).NotTo(HaveOccurred())
			return answers[i-1](r)
		})}
		return c
	}
	lostReply := func(*http.Request) (*http.Response, error) { return nil, io.ErrUnexpectedEOF }
	connRefused := func(*http.Request) (*http.Response, error) {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	noLeader := func(*http.Request) (*http.Response, error) {
		w := httptest.NewRecorder()
		problem.New(problem.ControlUnavailable, problem.NotRun, "no leader").Write(w)
		return w.Result(), nil
	}

	// Guards against a change being applied twice. The change whose reply was
	// lost may have been accepted; if it were reported as not_run, the operator
	// would make it again under a new id.
	It("does not report a change as not run when an earlier attempt's reply was lost", func() {
		_, err := scripted(lostReply, noLeader).ApplyDocument(context.Background(), "x", 0, "d.yaml", []byte(document))
		Expect(err).To(MatchError(And(ContainSubstring("no leader"), ContainSubstring("unexpected EOF"))))
		_, isProblem := problem.As(err)
		Expect(isProblem).To(BeFalse(), "%v", err)
	})

	It("reports a change as not run when every attempt was refused or not sent", func() {
		_, err := scripted(noLeader, connRefused).ApplyDocument(context.Background(), "x", 0, "d.yaml", []byte(document))
		p, isProblem := problem.As(err)
		Expect(isProblem).To(BeTrue(), "%v", err)
		Expect(p.Execution).To(Equal(problem.NotRun))
	})

	// Guards against reporting an error that names no remedy. Without a majority,
	// the last attempt is the one that the timeout interrupts, and its error
	// names none.
	It("reports the refusal of a read rather than a later attempt whose reply was lost", func() {
		_, err := scripted(noLeader, lostReply).CurrentVersion(context.Background())
		Expect(err).To(MatchError(ContainSubstring("no leader")))
	})

	// Guards against output without the chain head. Without it, an auditor cannot
	// tell an extended log from a rewritten one.
	It("verifies the log of each control VM and prints its records and chain head", func() {
		report := audit.Report{Segments: 2, Records: 7, Head: [32]byte{0xab, 0xcd}}
		var paths []string
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			paths = append(paths, r.URL.Path)
			Expect(json.NewEncoder(w).Encode(report)).To(Succeed())
		}))
		defer server.Close()
		environ["DAMASK_CONTROL"] = server.URL + "," + server.URL + "/"
		code, out, errs := damaskctl("verify")
		Expect(code).To(Equal(ExitOK), errs)
		Expect(out).To(ContainSubstring(server.URL + ": the chain is unbroken, 2 segments, 7 records, head abcd00"))
		Expect(paths).To(Equal([]string{"/v1/audit/verify", "/v1/audit/verify"}))
		_, out, _ = damaskctl("verify", "-json")
		var replies []verifyOutput
		Expect(json.Unmarshal([]byte(out), &replies)).To(Succeed())
		Expect(replies).To(HaveLen(2))
		Expect(replies[0].Head).To(HavePrefix("abcd00"))
	})

	// Guards against audit queries that never finish. A query over many sessions
	// or the verification of a year's log takes longer than attemptTimeout (5 s).
	// If each attempt were cancelled then and retried on the next control VM, no
	// -timeout would be long enough.
	DescribeTable("gives each attempt of an audit query an equal share of the timeout", func(path string, lower, upper time.Duration) {
		var remaining time.Duration
		c := &Client{
			Addrs: []string{"http://127.0.0.1:1", "http://127.0.0.1:2"}, Token: "secret",
			HTTP: &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
				deadline, _ := r.Context().Deadline()
				remaining = time.Until(deadline)
				return nil, context.Canceled
			})},
			Pause: func(context.Context, time.Duration) error { return context.Canceled },
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Hour)
		defer cancel()
		Expect(c.Get(ctx, path, nil, &struct{}{})).NotTo(Succeed())
		Expect(remaining).To(And(BeNumerically(">", lower), BeNumerically("<=", upper)))
	},
		Entry(nil, "/v1/audit/unaccounted", time.Hour, 5*time.Hour),
		Entry(nil, "/v1/audit", time.Hour, 5*time.Hour),
		Entry(nil, "/v1/status", time.Duration(0), attemptTimeout),
	)

	It("prints the settings as a document that can be applied", func() {
		damaskctl("apply", "-f", file)
		code, out, errs := damaskctl("get", "-document")
		Expect(code).To(Equal(ExitOK), errs)
		Expect(out).To(HavePrefix("# version 1; apply with -base 1\n"))
		edited := strings.Replace(out, `"4s"`, `"3s"`, 1)
		Expect(os.WriteFile(file, []byte(edited), 0o600)).To(Succeed())
		_, out, _ = damaskctl("diff", "-f", file)
		Expect(out).To(ContainSubstring("1 operations on version 1"))
		Expect(out).To(ContainSubstring("deadline.default  3s"))
	})

	It("reports no difference after a document was applied", func() {
		_, out, _ := damaskctl("diff", "-f", "/dev/null")
		Expect(out).To(BeEmpty())
		code, out, _ := damaskctl("diff", "-f", file)
		Expect(code).To(Equal(ExitOK))
		Expect(out).To(ContainSubstring("2 operations on version 0"))
		damaskctl("apply", "-f", file)
		_, out, _ = damaskctl("diff", "-f", file)
		Expect(out).To(ContainSubstring("no difference from version 1"))
	})

	DescribeTable("invalid command lines and failed calls", func(code int, want string, args ...string) {
		got, _, errs := damaskctl(args...)
		Expect(got).To(Equal(code))
		Expect(errs).To(ContainSubstring(want))
	},
		Entry(nil, ExitUsage, "not known", "aply"),
		Entry(nil, ExitUsage, "give -f FILE", "apply"),
		Entry(nil, ExitUsage, "flag provided but not defined", "get", "-x"),
		Entry(nil, ExitUsage, "takes 1 to 1 arguments", "drain"),
		Entry(nil, ExitUsage, "is not a URL", "status", "-control", "10.0.0.1"),
		Entry(nil, ExitFailed, "token file", "status", "-token-file", "/nonexistent"),
		Entry(nil, ExitFailed, "no session of e2", "drain", "e2"),
	)
})
