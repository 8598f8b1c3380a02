package controlvm

import (
	"context"
	"path/filepath"
	"testing"

	"damaskbridge.example/damaskbridge/audit"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/transport"
)

// localCaller answers audit queries from a local store and its copies.
type localCaller struct {
	store  *audit.Store
	copies *audit.CopyDir
}

func (s localCaller) Call(_ context.Context, _ string, _ transport.Method, body []byte) ([]byte, error) {
	return s.store.ServeQueryWithCopies(transport.Peer{VM: "control-2", Role: transport.RoleControl}, body, s.copies)
}

// countRecords returns the number of records of a request that a query finds.
func countRecords(t *testing.T, store *audit.Store, copies *audit.CopyDir, id ids.RequestID) int {
	t.Helper()
	reader := audit.Reader{Caller: localCaller{store, copies}, Addrs: []string{"control-1"}}
	entries, missing := reader.Query(context.Background(), id)
	if len(missing) > 0 {
		t.Fatalf("no answer from %v", missing)
	}
	return len(entries)
}

// TestCopyAfterLostDisk guards against two failures after a control VM lost its
// disk: its new records get no second copy, because an old copy under the same
// name is longer, or the records of the lost disk are not found in their copy.
func TestCopyAfterLostDisk(t *testing.T) {
	copies := audit.NewCopyDir(t.TempDir())
	session := ids.SessionID{VM: "entry-1", Incarnation: 1}
	for generation := range 2 {
		dir := filepath.Join(t.TempDir(), "audit")
		store, err := audit.Open(dir, audit.Options{})
		if err != nil {
			t.Fatal(err)
		}
		request := ids.RequestID{Session: session, Seq: uint64(generation + 1)}
		batch := audit.Batch{Number: uint64(generation + 1), Records: []audit.Record{{Kind: audit.Begin, Request: request, Workspace: "w", Target: "a longer name in the first life"[generation*20:]}}}
		if err := store.Append(session, batch); err != nil {
			t.Fatal(err)
		}
		source, err := auditSourceName("control-1", dir)
		if err != nil {
			t.Fatal(err)
		}
		if err := store.Replicate(context.Background(), source, copies); err != nil {
			t.Fatalf("store %d has no second copy: %v", generation, err)
		}
		again, err := auditSourceName("control-1", dir)
		if err != nil || again != source {
			t.Fatalf("the source name changed from %s to %s: %v", source, again, err)
		}
		for seq := range uint64(generation + 1) {
			if n := countRecords(t, store, copies, ids.RequestID{Session: session, Seq: seq + 1}); n != 1 {
				t.Fatalf("with store %d, request %d was found %d times, want once", generation, seq+1, n)
			}
		}
		if err := store.Close(); err != nil {
			t.Fatal(err)
		}
		if reopened, err := audit.Open(dir, audit.Options{}); err != nil {
			t.Fatalf("the store with its ID file cannot be opened again: %v", err)
		} else if err := reopened.Close(); err != nil {
			t.Fatal(err)
		}
	}
}
