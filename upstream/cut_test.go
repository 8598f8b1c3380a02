package upstream

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// cutResponse is what a runner sends before it closes the connection.
type cutResponse struct {
	text  string
	reset bool
}

// startCutRunner starts a runner that sends the next response to each call.
func startCutRunner() (addr string, next chan cutResponse) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	next = make(chan cutResponse, 1)
	go func() {
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				r := <-next
				if r.reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_, _ = conn.Write([]byte(r.text))
			}
			_ = conn.Close()
		}
	}()
	return l.Addr().String(), next
}

// cutCall is a call and the body of its response. plain marks a body that does not
// show its own end.
type cutCall struct {
	body  string
	plain bool
	send  func(c *Client, addr string) error
}

func stageBody() string {
	b, err := json.Marshal(StageResult{Output: "o", SHA256: "65c74c15a686187bb6bbf9958f494fc6b80068034a659a9ad44991b08c58f2d2"})
	Expect(err).NotTo(HaveOccurred())
	return string(b)
}

var _ = Describe("a response of a runner that breaks off", func() {
	calls := map[string]func() cutCall{
		"plain service": func() cutCall {
			return cutCall{`{"ticket":1}`, true, func(c *Client, addr string) error {
				_, err := c.Service(context.Background(), addr, testAttempt(), ServiceCall{Op: "book"})
				return err
			}}
		},
		"stage": func() cutCall {
			return cutCall{stageBody(), false, func(c *Client, addr string) error {
				_, err := c.Stage(context.Background(), addr, testAttempt(), "encode", "normal", StageRequest{Input: "i"})
				return err
			}}
		},
		"engine": func() cutCall {
			return cutCall{chunkA + finishChunk + endMarkerLine, false, func(c *Client, addr string) error {
				_, err := c.Chat(context.Background(), addr, testAttempt(), ChatRequest{}, func(int, string) error { return nil })
				return err
			}}
		},
		"load report": func() cutCall {
			return cutCall{`{"running":1}`, false, func(c *Client, addr string) error {
				_, err := c.Load(context.Background(), addr)
				return err
			}}
		},
	}
	head := "HTTP/1.1 200 OK\r\nDamask-Attempt: " + testAttempt().String() + "\r\n"
	framings := map[string]func(body string) string{
		"length": func(body string) string { return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body) },
		"chunks": func(body string) string {
			return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
		},
		"close": func(body string) string { return head + "\r\n" + body },
	}

	// Guards against a part of a response that is taken for all of it.
	DescribeTable("is none, wherever it does", func(name, framing string) {
		call := calls[name]()
		addr, next := startCutRunner()
		c := NewClient(Options{})
		DeferCleanup(c.Close)
		whole := framings[framing](call.body)
		bodyAt := strings.Index(whole, "\r\n\r\n") + len("\r\n\r\n")
		end := len(whole)
		if i := strings.Index(whole, string(endMarker)+"\n"); i >= 0 {
			// A stream is whole with its end marker, whatever its framing.
			end = i + len(endMarker) + 1
		}
		for n := range end {
			for _, reset := range []bool{false, true} {
				next <- cutResponse{whole[:n], reset}
				err := call.send(c, addr)
				if framing == "close" && call.plain && n >= bodyAt && !reset {
					// Nothing tells an orderly end from a cut.
					Expect(err).NotTo(HaveOccurred(), "%q", whole[:n])
					continue
				}
				Expect(err).To(HaveOccurred(), "%q, reset %v", whole[:n], reset)
				Expect(MayHaveStarted(err)).To(BeTrue())
			}
		}
		next <- cutResponse{text: whole}
		Expect(call.send(c, addr)).To(Succeed())
	}, func() (entries []TableEntry) {
		for _, name := range []string{"plain service", "stage", "engine", "load report"} {
			for _, framing := range []string{"length", "chunks", "close"} {
				entries = append(entries, Entry(name+", "+framing, name, framing))
			}
		}
		return entries
	}())
})
