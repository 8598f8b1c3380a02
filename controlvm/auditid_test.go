package controlvm

import (
	"context"
	"path/filepath"
	"testing"

	"damaskbridge.example/damaskbridge/audit"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/transport"
)

// serve answers audit queries from a store and the copies beside it.
type serve struct {
	store  *audit.Store
	copies *audit.CopyDir
}

func (s serve) Call(_ context.Context, _ string, _ transport.Method, body []byte) ([]byte, error) {
	return s.store.ServeQueryCopies(transport.Peer{VM: "control-2", Role: transport.RoleControl}, body, s.copies)
}

// found gives how many records of a request a query finds.
func found(t *testing.T, store *audit.Store, copies *audit.CopyDir, id ids.RequestID) int {
	t.Helper()
	reader := audit.Reader{Caller: serve{store, copies}, Addrs: []string{"control-1"}}
	entries, missing := reader.Query(context.Background(), id)
	if len(missing) > 0 {
		t.Fatalf("no answer from %v", missing)
	}
	return len(entries)
}

// TestCopyAfterLostDisk guards against a control VM whose new records have no
// second copy because the old copy under the same name is longer, and against
// records of the lost disk that are not found although their copy is there.
func TestCopyAfterLostDisk(t *testing.T) {
	copies := audit.NewCopyDir(t.TempDir())
	session := ids.SessionID{VM: "entry-1", Incarnation: 1}
	for life := range 2 {
		dir := filepath.Join(t.TempDir(), "audit")
		store, err := audit.Open(dir, audit.Options{})
		if err != nil {
			t.Fatal(err)
		}
		request := ids.RequestID{Session: session, Seq: uint64(life + 1)}
		batch := audit.Batch{Number: uint64(life + 1), Records: []audit.Record{{Kind: audit.Begin, Request: request, Workspace: "w", Target: "a longer name in the first life"[life*20:]}}}
		if err := store.Append(session, batch); err != nil {
			t.Fatal(err)
		}
		source, err := auditSource("control-1", dir)
		if err != nil {
			t.Fatal(err)
		}
		if err := store.Replicate(context.Background(), source, copies); err != nil {
			t.Fatalf("life %d has no second copy: %v", life, err)
		}
		again, err := auditSource("control-1", dir)
		if err != nil || again != source {
			t.Fatalf("the identity changed from %s to %s: %v", source, again, err)
		}
		for seq := range uint64(life + 1) {
			if n := found(t, store, copies, ids.RequestID{Session: session, Seq: seq + 1}); n != 1 {
				t.Fatalf("life %d finds request %d %d times, want once", life, seq+1, n)
			}
		}
		if err := store.Close(); err != nil {
			t.Fatal(err)
		}
		if reopened, err := audit.Open(dir, audit.Options{}); err != nil {
			t.Fatalf("the store does not open with its identity file: %v", err)
		} else if err := reopened.Close(); err != nil {
			t.Fatal(err)
		}
	}
}
