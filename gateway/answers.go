package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// maxAnswerBytes is the maximum size of an answer that is buffered.
	maxAnswerBytes = 32 << 20
	// maxBufferedBytes is the maximum size of all answers beyond freeAnswerBytes
	// that are buffered at a time. A runner in trouble may send bytes without end
	// to many requests at once.
	maxBufferedBytes = 48 << 20
	// freeAnswerBytes is the part of each answer that is not counted.
	freeAnswerBytes = 64 << 10
	// answerStepBytes is by how much an answer's share of the memory grows.
	answerStepBytes = 256 << 10
)

var (
	errAnswerTooLarge = fmt.Errorf("the answer exceeds %d bytes", maxAnswerBytes)
	errAnswerMemory   = fmt.Errorf("the answers under way exceed %d bytes together", maxBufferedBytes)
)

// answerMemory bounds the memory of buffered answers. It is safe for concurrent
// use.
type answerMemory struct {
	used atomic.Int64
}

// readAll reads a whole answer. It returns errAnswerTooLarge or errAnswerMemory
// if the answer does not fit. release must be called when the answer is of no
// more use.
func (m *answerMemory) readAll(r io.Reader) (body []byte, release func(), err error) {
	reserved := int64(0)
	release = func() { m.used.Add(-reserved) }
	var b bytes.Buffer
	step := int64(freeAnswerBytes)
	for {
		_, err := io.CopyN(&b, r, step)
		if errors.Is(err, io.EOF) {
			return b.Bytes(), release, nil
		}
		if err != nil {
			return nil, release, err
		}
		if b.Len() >= maxAnswerBytes {
			return nil, release, errAnswerTooLarge
		}
		step = answerStepBytes
		reserved += step
		if m.used.Add(step) > maxBufferedBytes {
			return nil, release, errAnswerMemory
		}
	}
}
