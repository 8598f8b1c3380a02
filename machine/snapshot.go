package machine

import (
	"fmt"
	"math"

	"damaskbridge.example/damaskbridge/catalog"

	"damaskbridge.example/damaskbridge/fence"
	"damaskbridge.example/damaskbridge/ledger"
	"damaskbridge.example/damaskbridge/session"
	"damaskbridge.example/damaskbridge/settings"
	"github.com/fxamacker/cbor/v2"
)

// snapshotFormat numbers the layout of a snapshot.
const snapshotFormat = 1

// file is the encoded form of a snapshot.
type file struct {
	Format   uint             `cbor:"1,keyasint"`
	Applied  uint64           `cbor:"2,keyasint"`
	Now      int64            `cbor:"3,keyasint"`
	Tree     []byte           `cbor:"4,keyasint"`
	Sessions session.File     `cbor:"5,keyasint"`
	Ledger   []byte           `cbor:"6,keyasint"`
	Fences   fence.TableFile  `cbor:"7,keyasint"`
	Weights  fence.BudgetFile `cbor:"8,keyasint"`
	// Document is nil before the first one was published.
	Document *catalog.Document `cbor:"9,keyasint,omitempty"`
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// mustDecMode allows long lists: hundreds of thousands of ended sessions are
// within the target size.
func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Frozen is the state at one moment. It is immutable and may be encoded on
// another goroutine while the machine moves on.
type Frozen struct {
	head   file
	tree   *settings.Tree
	ledger *ledger.Frozen
}

// Freeze copies the state. It takes far less time than Encode, so that a
// replica can go on with its heartbeats.
func (m *Machine) Freeze() *Frozen {
	return &Frozen{
		head: file{
			Format: snapshotFormat, Applied: m.applied, Now: m.now,
			Sessions: m.sessions.File(), Fences: m.fences.File(), Weights: m.weights.File(),
			Document: m.catalog.Document(),
		},
		tree:   m.tree,
		ledger: m.ledger.Freeze(),
	}
}

// SnapshotLater freezes the state and gives a function that encodes it, which
// another goroutine may call.
func (m *Machine) SnapshotLater() func() ([]byte, error) {
	return m.Freeze().Encode
}

// Applied is the index of the newest command in the frozen state.
func (f *Frozen) Applied() uint64 { return f.head.Applied }

// Encode writes the frozen state. Equal states have equal bytes.
func (f *Frozen) Encode() ([]byte, error) {
	tree, err := f.tree.EncodeAll()
	if err != nil {
		return nil, err
	}
	out := f.head
	out.Tree = tree
	out.Ledger = f.ledger.Encode()
	b, err := encMode.Marshal(&out)
	if err != nil {
		return nil, fmt.Errorf("machine: snapshot at index %d: %w", out.Applied, err)
	}
	return b, nil
}

// Snapshot writes the present state. Equal states have equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	return m.Freeze().Encode()
}

// Restore replaces the state by that of a snapshot. On an error the state is
// unchanged.
func (m *Machine) Restore(b []byte) error {
	var f file
	if err := decMode.Unmarshal(b, &f); err != nil {
		return fmt.Errorf("machine: restore: %w; fetch another snapshot", err)
	}
	if f.Format != snapshotFormat {
		return fmt.Errorf("machine: restore: format %d is not known, this program reads format %d; upgrade it", f.Format, snapshotFormat)
	}
	if f.Now < 0 || f.Now > maxUnixMS {
		return fmt.Errorf("machine: restore: time %d is out of range; fetch another snapshot", f.Now)
	}
	next := &Machine{applied: f.Applied, now: f.Now}
	if err := next.load(&f); err != nil {
		return err
	}
	*m = *next
	return nil
}

func (m *Machine) load(f *file) (err error) {
	if m.tree, err = settings.DecodeTree(f.Tree); err != nil {
		return err
	}
	if m.sessions, err = session.FromFile(f.Sessions); err != nil {
		return err
	}
	if m.ledger, err = ledger.Decode(f.Ledger); err != nil {
		return err
	}
	if m.fences, err = fence.TableFromFile(f.Fences); err != nil {
		return err
	}
	if f.Document != nil {
		m.catalog.Publish(f.Document)
	}
	m.weights, err = fence.BudgetFromFile(f.Weights)
	return err
}
