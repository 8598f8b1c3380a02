package admission

import "container/heap"

// accountSweep is the number of accounts at which idle ones are removed.
const accountSweep = 4096

// shares keeps the accounts of all workspaces. Service is counted over all
// classes, because callers choose their priority themselves: a workspace that
// marks everything as interactive gets no more than its share for it.
type shares struct {
	accounts map[string]*account
	// virtual is the least virtual time of the workspaces that wait. It never
	// goes back.
	virtual float64
}

func newShares() *shares { return &shares{accounts: map[string]*account{}} }

// account gives the workspace's account. One that was idle gets no credit for
// that time.
func (s *shares) account(workspace string) *account {
	a := s.accounts[workspace]
	if a == nil {
		if len(s.accounts) >= accountSweep {
			s.sweep()
		}
		a = &account{workspace: workspace, start: s.virtual}
		s.accounts[workspace] = a
	}
	if a.idle() {
		a.start = max(a.start, s.virtual)
	}
	return a
}

// charge adds a granted request to its workspace's service.
func (s *shares) charge(req *Request, classes *[classCount]*class) {
	a := s.account(req.Workspace)
	from := a.start
	a.start += req.cost() / req.weight()
	for i, l := range a.lanes {
		if l != nil {
			heap.Fix(&classes[i].active, l.index)
		}
	}
	s.advance(from, classes)
}

// advance moves the virtual time to the least of the waiting workspaces, or to
// that of the one just served if none wait.
func (s *shares) advance(served float64, classes *[classCount]*class) {
	least, waiting := 0.0, false
	for _, c := range classes {
		if len(c.active) == 0 {
			continue
		}
		if start := c.active[0].account.start; !waiting || start < least {
			least, waiting = start, true
		}
	}
	if !waiting {
		least = served
	}
	s.virtual = max(s.virtual, least)
}

// over says whether the workspace has had more than its share by the burst.
func (s *shares) over(a *account, burst float64) bool { return a.start > s.virtual+burst }

// sweep removes idle accounts without debt, or all idle ones if most have debt,
// which costs their workspaces' history only.
func (s *shares) sweep() {
	for _, keepDebt := range []bool{true, false} {
		for name, a := range s.accounts {
			if a.idle() && (!keepDebt || a.start <= s.virtual) {
				delete(s.accounts, name)
			}
		}
		if len(s.accounts) < accountSweep/2 {
			return
		}
	}
}
