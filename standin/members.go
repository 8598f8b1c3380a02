package standin

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/ids"
)

// MemberState is the state of a VM in the membership list.
type MemberState string

// States of a member.
const (
	Live    MemberState = "live"
	Leaving MemberState = "leaving"
)

// Member is one entry of the membership list.
type Member struct {
	VM      ids.VMID    `json:"vm"`
	Address string      `json:"address"`
	Pool    string      `json:"pool"`
	Region  ids.Region  `json:"region"`
	State   MemberState `json:"state"`
}

// MemberList is the body of GET /members.
type MemberList struct {
	Seq      uint64   `json:"seq"`
	AtUnixMS int64    `json:"at_unix_ms"`
	Members  []Member `json:"members"`
}

// MembersOptions configure the membership list.
type MembersOptions struct {
	// Lag is the time after which a change shows, in real time.
	Lag time.Duration
	// Now is the clock, time.Now if nil.
	Now func() time.Time
}

// Members simulates the platform's lagging membership list. It is safe for
// concurrent use.
type Members struct {
	options MembersOptions
	mux     *http.ServeMux

	mu      sync.Mutex
	current map[ids.VMID]Member
	// versions are the lists that may still have to be shown, oldest first.
	versions []MemberList
	// percent is the part of the list that is shown, 100 unless it is faulty.
	percent int
	faults  uint64
}

// NewMembers makes an empty list.
func NewMembers(o MembersOptions) *Members {
	if o.Now == nil {
		o.Now = time.Now
	}
	m := &Members{
		options:  o,
		mux:      http.NewServeMux(),
		current:  map[ids.VMID]Member{},
		versions: []MemberList{{Members: []Member{}}},
		percent:  100,
	}
	m.mux.HandleFunc("GET /members", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, m.List())
	})
	return m
}

// ServeHTTP answers GET /members.
func (m *Members) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mux.ServeHTTP(w, r)
}

// Put adds or replaces members. They show after the lag.
func (m *Members) Put(members ...Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, x := range members {
		m.current[x.VM] = x
	}
	m.record()
}

// SetState changes a member's state. It is false if there is no such member.
func (m *Members) SetState(vm ids.VMID, s MemberState) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, ok := m.current[vm]
	if !ok {
		return false
	}
	x.State = s
	m.current[vm] = x
	m.record()
	return true
}

// Remove takes a VM off the list.
func (m *Members) Remove(vm ids.VMID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.current, vm)
	m.record()
}

// ShowPercent makes the list faulty: from now on only that part of the members
// is shown, without lag. 100 ends the fault.
func (m *Members) ShowPercent(percent int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.percent = min(max(percent, 0), 100)
	m.faults++
}

// record keeps the current list as the newest version.
func (m *Members) record() {
	now := m.options.Now()
	list := make([]Member, 0, len(m.current))
	for _, x := range m.current {
		list = append(list, x)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].VM < list[j].VM })
	newest := m.versions[len(m.versions)-1]
	m.versions = append(m.versions, MemberList{Seq: newest.Seq + 1, AtUnixMS: now.UnixMilli(), Members: list})
}

// List returns the list as it is shown now.
func (m *Members) List() MemberList {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := m.options.Now().Add(-m.options.Lag).UnixMilli()
	for len(m.versions) > 1 && m.versions[1].AtUnixMS <= limit {
		m.versions = m.versions[1:]
	}
	shown := m.versions[0]
	shown.Seq += m.faults
	shown.AtUnixMS = max(shown.AtUnixMS, limit)
	shown.Members = shown.Members[:len(shown.Members)*m.percent/100]
	return shown
}

// start sets the first list, which shows at once.
func (m *Members) start(members []Member) {
	m.Put(members...)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.versions = m.versions[len(m.versions)-1:]
}
