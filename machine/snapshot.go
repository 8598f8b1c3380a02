package machine

import (
	"fmt"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/evacuation"
	"damaskbridge.example/damaskbridge/fence"
	"damaskbridge.example/damaskbridge/internal/cbormode"
	"damaskbridge.example/damaskbridge/ledger"
	"damaskbridge.example/damaskbridge/session"
	"damaskbridge.example/damaskbridge/settings"
)

// snapshotFormat is the version of the snapshot encoding.
const snapshotFormat = 1

// snapshotFile is the encoded form of a snapshot.
type snapshotFile struct {
	Format    uint                 `cbor:"1,keyasint"`
	Applied   uint64               `cbor:"2,keyasint"`
	NowUnixMS int64                `cbor:"3,keyasint"`
	Tree      []byte               `cbor:"4,keyasint"`
	Sessions  session.Snapshot     `cbor:"5,keyasint"`
	Ledger    []byte               `cbor:"6,keyasint"`
	Fences    fence.TableSnapshot  `cbor:"7,keyasint"`
	Weights   fence.BudgetSnapshot `cbor:"8,keyasint"`
	// Document is nil until the first one is published.
	Document *catalog.Document `cbor:"9,keyasint,omitempty"`
	// Evacuations is nil until the first one is ordered.
	Evacuations *evacuation.Table `cbor:"10,keyasint,omitempty"`
}

// Frozen is a point-in-time copy of the state. It is immutable and may be
// encoded on another goroutine while the machine applies further commands.
type Frozen struct {
	header snapshotFile // without Tree and Ledger, which Encode adds
	tree   *settings.Tree
	ledger *ledger.Snapshot
}

// Freeze returns a point-in-time copy of the state. It takes far less time than
// Encode, so that a replica does not miss heartbeats.
func (m *Machine) Freeze() *Frozen {
	return &Frozen{
		header: snapshotFile{
			Format: snapshotFormat, Applied: m.applied, NowUnixMS: m.nowUnixMS,
			Sessions: m.sessions.Snapshot(), Fences: m.fences.Snapshot(), Weights: m.weightBudget.Snapshot(),
			Document: m.catalog.Document(), Evacuations: m.evacuations,
		},
		tree:   m.tree,
		ledger: m.ledger.Snapshot(),
	}
}

// DeferredSnapshot freezes the state and returns a function that encodes it and
// may be called on another goroutine.
func (m *Machine) DeferredSnapshot() func() ([]byte, error) {
	return m.Freeze().Encode
}

// Applied returns the index of the last command applied to the frozen state.
func (f *Frozen) Applied() uint64 { return f.header.Applied }

// Encode returns the encoded snapshot. Equal states produce equal bytes.
func (f *Frozen) Encode() ([]byte, error) {
	tree, err := f.tree.EncodeAll()
	if err != nil {
		return nil, err
	}
	out := f.header
	out.Tree = tree
	out.Ledger = f.ledger.Encode()
	b, err := cbormode.Deterministic.Marshal(&out)
	if err != nil {
		return nil, fmt.Errorf("machine: snapshot at index %d: %w", out.Applied, err)
	}
	return b, nil
}

// Snapshot returns the encoded current state. Equal states produce equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	return m.Freeze().Encode()
}

// Restore replaces the state with that of a snapshot. If it returns an error,
// the state is unchanged.
func (m *Machine) Restore(b []byte) error {
	var f snapshotFile
	if err := cbormode.Large.Unmarshal(b, &f); err != nil {
		return fmt.Errorf("machine: restore: %w; fetch another snapshot", err)
	}
	if f.Format != snapshotFormat {
		return fmt.Errorf("machine: restore: snapshot format %d is not supported, this program reads format %d; upgrade it", f.Format, snapshotFormat)
	}
	if f.NowUnixMS < 0 || f.NowUnixMS > maxUnixMS {
		return fmt.Errorf("machine: restore: time %d is out of range; fetch another snapshot", f.NowUnixMS)
	}
	next := &Machine{applied: f.Applied, nowUnixMS: f.NowUnixMS}
	if err := next.decodeParts(&f); err != nil {
		return err
	}
	*m = *next
	return nil
}

func (m *Machine) decodeParts(f *snapshotFile) (err error) {
	if m.tree, err = settings.DecodeTree(f.Tree); err != nil {
		return err
	}
	if m.sessions, err = session.Restore(f.Sessions); err != nil {
		return err
	}
	if m.ledger, err = ledger.Decode(f.Ledger); err != nil {
		return err
	}
	if m.fences, err = fence.RestoreTable(f.Fences); err != nil {
		return err
	}
	if f.Document != nil {
		m.catalog.Publish(f.Document)
	}
	m.evacuations = f.Evacuations
	m.weightBudget, err = fence.RestoreBudget(f.Weights)
	return err
}
