package buffers

import "io"

// stepBytes is the unit in which an Account reserves memory.
const stepBytes = 64 << 10

// Account is the share of one buffer in a Memory. A nil Account counts nothing. It is
// not safe for concurrent use.
type Account struct {
	memory *Memory
	kind   Kind
	// free is the allowance in bytes, reserved what is counted beyond it.
	free     int64
	reserved int64
}

// NewAccount returns the account of a buffer of which the first free bytes are not
// counted.
func (m *Memory) NewAccount(kind Kind, free int64) *Account {
	return &Account{memory: m, kind: kind, free: free}
}

// Resize sets the size of the buffer to n bytes. It returns a *FullError and changes
// nothing if a larger one finds no room. It is called before the buffer grows, and
// after it has shrunk.
func (a *Account) Resize(n int64) error {
	if a == nil {
		return nil
	}
	want := (max(n-a.free, 0) + stepBytes - 1) / stepBytes * stepBytes
	switch {
	case want > a.reserved:
		if err := a.memory.Reserve(a.kind, want-a.reserved); err != nil {
			return err
		}
	case want < a.reserved:
		a.memory.Release(a.reserved - want)
	}
	a.reserved = want
	return nil
}

// Close gives back all memory.
func (a *Account) Close() { _ = a.Resize(0) }

// growthFactor covers a buffer that doubles, and is copied into the larger one, for
// bytes that are read into one piece.
const growthFactor = 3

// Reader returns a reader of r that counts what was read, and fails once that finds
// no room.
func (a *Account) Reader(r io.Reader) io.Reader { return &countedReader{account: a, reader: r} }

type countedReader struct {
	account *Account
	reader  io.Reader
	read    int64
}

// Read reads and counts.
func (r *countedReader) Read(b []byte) (int, error) {
	if err := r.account.Resize(growthFactor * r.read); err != nil {
		return 0, err
	}
	n, err := r.reader.Read(b)
	r.read += int64(n)
	return n, err
}
