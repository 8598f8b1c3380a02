package gateway

import (
	"io"
	"sync"

	"damaskbridge.example/damaskbridge/buffers"
)

// freeHeadBytes is the part of each answer's head that is not counted.
const freeHeadBytes = 8 << 10

// countHead counts the head of an answer until the body is closed. If the head finds
// no room, it closes the body and returns a *buffers.FullError.
func (g *Gateway) countHead(response *Response) error {
	account := g.opts.Memory.NewAccount(buffers.AnswerHead, freeHeadBytes)
	if err := account.Resize(buffers.HeaderBytes(response.Header)); err != nil {
		_ = response.Body.Close()
		return err
	}
	response.Body = &countedAnswer{ReadCloser: response.Body, endCount: sync.OnceFunc(account.Close)}
	return nil
}

// countedAnswer is the body of an answer whose head is counted.
type countedAnswer struct {
	io.ReadCloser
	endCount func()
}

// Close closes the body.
func (a *countedAnswer) Close() error {
	a.endCount()
	return a.ReadCloser.Close()
}
