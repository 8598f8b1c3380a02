package admission

import "container/heap"

// evictionThreshold is the number of tracked workspaces at which idle ones are
// evicted.
const evictionThreshold = 4096

// usageTracker records the usage of all workspaces. Service is counted over all
// classes because callers choose the priority of their requests: a workspace
// that marks every request as interactive still gets only its share.
type usageTracker struct {
	workspaces map[string]*workspaceUsage
	// virtualTime is the least virtual time of the workspaces with waiting
	// requests. It never decreases.
	virtualTime float64
}

func newUsageTracker() *usageTracker { return &usageTracker{workspaces: map[string]*workspaceUsage{}} }

// get returns the usage of a workspace and creates it if needed. A workspace
// that was idle gets no credit for that time.
func (t *usageTracker) get(workspace string) *workspaceUsage {
	u := t.workspaces[workspace]
	if u == nil {
		if len(t.workspaces) >= evictionThreshold {
			t.evictIdle()
		}
		u = &workspaceUsage{workspace: workspace, virtualTime: t.virtualTime}
		t.workspaces[workspace] = u
	}
	if u.idle() {
		u.virtualTime = max(u.virtualTime, t.virtualTime)
	}
	return u
}

// charge adds the cost of a granted request to its workspace's usage.
func (t *usageTracker) charge(req *Request, classes *[classCount]*class) {
	u := t.get(req.Workspace)
	before := u.virtualTime
	u.virtualTime += req.cost() / req.weight()
	for i, f := range u.flows {
		if f != nil {
			heap.Fix(&classes[i].active, f.heapIndex)
		}
	}
	t.advanceVirtualTime(before, classes)
}

// advanceVirtualTime moves the virtual time to the least one of the workspaces
// with waiting requests or, if none wait, to that of the workspace just served.
func (t *usageTracker) advanceVirtualTime(served float64, classes *[classCount]*class) {
	least, waiting := 0.0, false
	for _, c := range classes {
		if len(c.active) == 0 {
			continue
		}
		if start := c.active[0].usage.virtualTime; !waiting || start < least {
			least, waiting = start, true
		}
	}
	if !waiting {
		least = served
	}
	t.virtualTime = max(t.virtualTime, least)
}

// exceedsShare reports whether the workspace has received more than its share
// by more than burst.
func (t *usageTracker) exceedsShare(u *workspaceUsage, burst float64) bool {
	return u.virtualTime > t.virtualTime+burst
}

// evictIdle removes idle workspaces that are not ahead of their share. If half of
// evictionThreshold or more remain, it removes all idle workspaces, which then
// lose only their usage history.
func (t *usageTracker) evictIdle() {
	for _, keepAhead := range []bool{true, false} {
		for name, u := range t.workspaces {
			if u.idle() && (!keepAhead || u.virtualTime <= t.virtualTime) {
				delete(t.workspaces, name)
			}
		}
		if len(t.workspaces) < evictionThreshold/2 {
			return
		}
	}
}
