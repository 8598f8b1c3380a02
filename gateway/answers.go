package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"

	"damaskbridge.example/damaskbridge/buffers"
)

const (
	// maxAnswerBytes is the maximum size of an answer that is buffered.
	maxAnswerBytes = 32 << 20
	// freeAnswerBytes is the part of each answer that is not counted.
	freeAnswerBytes = 64 << 10
	// answerStepBytes is by how much an answer's share of the memory grows.
	answerStepBytes = 256 << 10
)

var errAnswerTooLarge = fmt.Errorf("the answer exceeds %d bytes", maxAnswerBytes)

// Body is a whole answer in parts, so that its memory never has to be copied into
// a larger piece. It is valid until the call that received it returns.
type Body struct {
	parts [][]byte
}

// NewBody returns a body of one part.
func NewBody(b []byte) *Body { return &Body{parts: [][]byte{b}} }

// Len returns the length in bytes.
func (b *Body) Len() int {
	n := 0
	for _, part := range b.parts {
		n += len(part)
	}
	return n
}

// WriteTo writes the whole body.
func (b *Body) WriteTo(w io.Writer) (written int64, err error) {
	for _, part := range b.parts {
		n, err := w.Write(part)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// answerMemory allocates the memory of buffered answers. A runner in trouble may
// send bytes without end to many requests at once. It is safe for concurrent use.
type answerMemory struct {
	memory *buffers.Memory

	mu sync.Mutex
	// inUse is the number of buffers in use.
	inUse int
	// unused holds buffers of answerStepBytes that can be used again. They are kept
	// only while others are in use.
	unused [][]byte
}

// readAll reads a whole answer. It returns errAnswerTooLarge or a
// *buffers.FullError if the answer does not fit. release must be called when the answer is of no
// more use.
func (m *answerMemory) readAll(r io.Reader) (body *Body, release func(), err error) {
	var first bytes.Buffer
	_, err = io.CopyN(&first, r, freeAnswerBytes)
	whole := NewBody(first.Bytes())
	release = func() { m.free(whole.parts[1:]) }
	for read := freeAnswerBytes; err == nil; read += answerStepBytes {
		if read >= maxAnswerBytes {
			return nil, release, errAnswerTooLarge
		}
		var step []byte
		if step, err = m.allocate(); err != nil {
			return nil, release, err
		}
		var n int
		n, err = fill(r, step)
		whole.parts = append(whole.parts, step[:n])
	}
	if !errors.Is(err, io.EOF) {
		return nil, release, err
	}
	return whole, release, nil
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

// allocate returns a buffer of answerStepBytes.
func (m *answerMemory) allocate() ([]byte, error) {
	if err := m.memory.Reserve(buffers.Answer, answerStepBytes); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inUse++
	last := len(m.unused) - 1
	if last < 0 {
		return make([]byte, answerStepBytes), nil
	}
	step := m.unused[last]
	m.unused = m.unused[:last]
	return step, nil
}

// free returns buffers that allocate has returned, cut to any length.
func (m *answerMemory) free(steps [][]byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.memory.Release(int64(len(steps)) * answerStepBytes)
	m.inUse -= len(steps)
	for _, step := range steps {
		m.unused = append(m.unused, step[:answerStepBytes])
	}
	if m.inUse == 0 {
		m.unused = nil
	}
}
