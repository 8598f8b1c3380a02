package control

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/internal/propertytest"
	"damaskbridge.example/damaskbridge/machine"
	"damaskbridge.example/damaskbridge/session"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/transport"
)

func TestMain(m *testing.M) { propertytest.Main(m, 200) }

func TestControl(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "control")
}

// waitTimeout bounds the wait for a condition that must become true. It does
// not state how long that usually takes.
const waitTimeout = 20 * time.Second

// member is one control VM of a cluster.
type member struct {
	vm       ids.VMID
	dir      string
	endpoint *transport.Endpoint
	machine  *machine.Machine
	replica  *Replica
	server   *Server
}

// cluster is a group of control VMs with an in-memory network and real files.
type cluster struct {
	mem     *transport.MemoryNetwork
	peers   []Peer
	members map[ids.VMID]*member
	client  *Client
	session ids.SessionID
	adjust  func(*Options)

	mu    sync.Mutex
	acked []string // keys of acknowledged claims
}

func newCluster(dir string, adjust func(*Options), vms ...ids.VMID) *cluster {
	c := &cluster{mem: transport.NewMemoryNetwork(), members: map[ids.VMID]*member{}, adjust: adjust}
	var addrs []string
	for _, vm := range vms {
		c.peers = append(c.peers, Peer{VM: vm, Region: "r", Addr: string(vm), Voter: true})
		addrs = append(addrs, string(vm))
	}
	for _, vm := range vms {
		c.members[vm] = &member{vm: vm, dir: filepath.Join(dir, string(vm))}
		Expect(c.start(vm)).To(Succeed())
	}
	c.client = NewClient(c.mem.Endpoint("entry-1", transport.Peer{VM: "entry-1", Role: transport.RoleEntry}), addrs)
	c.session = ids.SessionID{VM: "entry-1", Incarnation: 1}
	c.openSession(c.session)
	return c
}

func (c *cluster) start(vm ids.VMID) error {
	m := c.members[vm]
	m.endpoint = c.mem.Endpoint(string(vm), transport.Peer{VM: vm, Role: transport.RoleControl})
	m.machine = machine.New()
	o := Options{
		Self: vm, Group: ids.SettingsGroup, Addr: string(vm), Peers: c.peers, Dir: m.dir,
		Machine: m.machine, Views: viewsOf(m.machine), Caller: m.endpoint,
		Freeze: func() func() ([]byte, error) { return m.machine.Freeze().Encode },
		Tick:   10 * time.Millisecond, ReportInterval: 40 * time.Millisecond,
		// Prevents expiry in tests that do not renew sessions.
		SessionExpiry: time.Hour,
	}
	if c.adjust != nil {
		c.adjust(&o)
	}
	r, err := Open(o)
	if err != nil {
		return err
	}
	m.replica, m.server = r, NewServer(r)
	m.endpoint.Listen(m.server)
	return nil
}

func viewsOf(m *machine.Machine) Views {
	return Views{
		Settings: func() SettingsView { return m.Tree() },
		Sessions: func() []ids.SessionID {
			var list []ids.SessionID
			for _, s := range m.OpenSessions() {
				list = append(list, s.Session)
			}
			return list
		},
		IsOpen: func(id ids.SessionID) bool {
			info, ok := m.Session(id)
			return ok && info.End == session.Open
		},
	}
}

// kill stops a control VM as a crash would.
func (c *cluster) kill(vm ids.VMID) {
	m := c.members[vm]
	m.endpoint.Listen(nil)
	m.replica.abort()
	m.server.Close()
}

// isolate simulates a silent partition: messages between vm and the other
// control VMs are held until their callers time out.
func (c *cluster) isolate(vm ids.VMID) {
	c.mem.SetDelay(func(ctx context.Context, from, to string, _ transport.Method) {
		between := c.members[ids.VMID(from)] != nil && c.members[ids.VMID(to)] != nil
		if between && (from == string(vm)) != (to == string(vm)) {
			<-ctx.Done()
		}
	})
}

func (c *cluster) stopAll() {
	for vm, m := range c.members {
		if m.replica.ctx.Err() == nil {
			c.kill(vm)
		}
	}
}

// leader waits for a leader and returns it. If an older leader does not yet
// know that it was deposed, the one with the highest term is returned.
func (c *cluster) leader() ids.VMID {
	var found *member
	Eventually(func() bool {
		found = nil
		for _, m := range c.members {
			v := m.replica.published.Load()
			if m.replica.ctx.Err() == nil && !v.confirmedAt.IsZero() && (found == nil || v.term > found.replica.published.Load().term) {
				found = m
			}
		}
		return found != nil
	}, waitTimeout, time.Millisecond).Should(BeTrue(), "no leader")
	return found.vm
}

func (c *cluster) others(vm ids.VMID) []ids.VMID {
	var list []ids.VMID
	for _, p := range c.peers {
		if p.VM != vm {
			list = append(list, p.VM)
		}
	}
	return list
}

func (c *cluster) propose(cmd command.Command) command.Result {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	result, err := c.client.Propose(ctx, ids.SettingsGroup, cmd)
	Expect(err).NotTo(HaveOccurred())
	return result
}

func (c *cluster) openSession(id ids.SessionID) {
	Expect(c.propose(command.Command{OpenSession: &command.OpenSession{Session: id, Region: "r"}}).Code).To(Equal(command.OK))
}

// claim claims a new key and records it as acknowledged.
func (c *cluster) claim() {
	key := fmt.Sprintf("key-%d", len(c.acked))
	request := ids.RequestID{Session: c.session, Seq: uint64(len(c.acked)%4000) + 1}
	result := c.propose(command.Command{Claim: &command.Claim{Workspace: "w", Key: key, Request: request}})
	// A claim that the client sent twice returns ClaimInProgress.
	Expect(result.Code).To(Or(Equal(command.ClaimGranted), Equal(command.ClaimInProgress)), result.Detail)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acked = append(c.acked, key)
}

func (c *cluster) claimN(n int) {
	for range n {
		c.claim()
	}
}

// expectAllClaims waits until every running replica holds every acknowledged
// claim.
func (c *cluster) expectAllClaims() {
	for _, m := range c.members {
		if m.replica.ctx.Err() != nil {
			continue
		}
		Eventually(func() int {
			var n int
			Expect(m.replica.Do(context.Background(), func() { n = m.machine.LedgerStats().Claimed })).To(Succeed())
			return n
		}, waitTimeout, 5*time.Millisecond).Should(Equal(len(c.acked)), "claims kept by %s", m.vm)
	}
}

// changeSetting applies one settings change and returns the new version.
func (c *cluster) changeSetting(base uint64, value string) uint64 {
	change := &settings.Change{
		ID: fmt.Sprint("change-", base), Operator: "o", Base: base,
		Ops: []settings.Op{{Kind: settings.SetValue, Key: settings.DeadlineDefault, Value: value}},
	}
	result := c.propose(command.Command{Change: change})
	Expect(result.Change.State).To(Equal(settings.Accepted), result.Change.Detail)
	return result.Change.Version
}
