package buffers

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
)

const (
	// FreeRequestBytes is the part of each request, head and body, that is not
	// counted.
	FreeRequestBytes = 16 << 10
	// maxPartBytes is the maximum size of a part of a body, minPartBytes that of
	// the first part of a body of unknown length.
	maxPartBytes = 256 << 10
	minPartBytes = 4 << 10
)

// Body is the body of a request in parts, so that it is never copied into a larger
// piece. It is counted until it was dropped and nobody holds it. A nil Body is
// empty. It is safe for concurrent use.
type Body struct {
	size int64
	// head is the size of the head that is counted with the body.
	head int64

	mu      sync.Mutex
	account *Account
	parts   net.Buffers
	holders int
	dropped bool
	closed  bool
}

// ReadBody reads a request's body of up to limit bytes. length is its size, negative
// if that is not known; head is the size of the request's head. It returns a
// *FullError if the request finds no room, before anything is read if the length is
// known.
func (m *Memory) ReadBody(r io.Reader, length, limit, head int64) (*Body, error) {
	b := &Body{head: head, account: m.NewAccount(Request, FreeRequestBytes)}
	err := b.account.Resize(head + max(length, 0))
	for err == nil {
		err = b.readPart(r, length, limit)
	}
	if !errors.Is(err, io.EOF) {
		b.account.Close()
		return nil, err
	}
	b.settle()
	return b, nil
}

// readPart reads the next part. It returns io.EOF at the end of the body.
func (b *Body) readPart(r io.Reader, length, limit int64) error {
	next := max(b.size, minPartBytes)
	if b.size < length {
		next = length - b.size
	} else if b.size == length {
		// Only the end is left to be read.
		next = 1
	}
	next = min(next, maxPartBytes)
	if length < 0 {
		if err := b.account.Resize(b.head + expectedSize(b.head, b.size+next, limit)); err != nil {
			return err
		}
	}
	part := make([]byte, next)
	n, err := fill(r, part)
	if int64(n) < next {
		part = bytes.Clone(part[:n])
	}
	if n > 0 {
		b.parts = append(b.parts, part)
	}
	b.size += int64(n)
	return err
}

// expectedSize returns the size for which room is taken before a body of unknown
// length grows to n bytes. It is the largest size from the second part on: of many
// bodies that grow at once, some are read to their end while the others are refused.
func expectedSize(head, n, limit int64) int64 {
	switch {
	case head+n <= FreeRequestBytes:
		return n
	case n <= maxPartBytes:
		return maxPartBytes
	}
	return max(n, limit)
}

// fill reads until b is full or an error occurs.
func fill(r io.Reader, b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var read int
		read, err = r.Read(b[n:])
		n += read
	}
	return n, err
}

// AddToHead counts n bytes more for the head, which is decoded. It returns a
// *FullError if they find no room.
func (b *Body) AddToHead(n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.account.Resize(b.head + n + b.size); err != nil {
		return err
	}
	b.head += n
	return nil
}

// Hold returns the parts of the body and keeps them counted until Release is called.
// It returns false if the body was dropped.
func (b *Body) Hold() (net.Buffers, bool) {
	if b == nil {
		return nil, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dropped {
		return nil, false
	}
	b.holders++
	return b.parts, true
}

// Release ends a Hold. The parts must not be used any more.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holders--
	b.settle()
}

// Drop gives the body back once nobody holds it: the request is not sent again.
func (b *Body) Drop() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropped = true
	b.settle()
}

// Close drops the body and gives back the head too, at the end of the request.
func (b *Body) Close() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropped, b.closed = true, true
	b.settle()
}

// settle counts what is still needed. It is called with mu held.
func (b *Body) settle() {
	var n int64
	if !b.closed {
		n = b.head
	}
	if !b.dropped || b.holders > 0 {
		n += b.size
	} else {
		b.parts = nil
	}
	// What shrinks always finds room.
	_ = b.account.Resize(n)
}
