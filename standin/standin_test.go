package standin

import (
	"bytes"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/standin/content"
)

func init() {
	_ = flag.Set("rapid.seed", "7342")
	_ = flag.Set("rapid.checks", "40")
}

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "standin")
}

const (
	// fast is the time scale of tests.
	fast = 0.02
	// patience bounds waits for events that are certain to come.
	patience = 10 * time.Second
)

var _ = BeforeEach(func() { SetDefaultEventuallyTimeout(patience) })

// peer is a client of one simulator with connections of its own.
type peer struct {
	http *http.Client
	url  string
}

// serve starts a simulator on loopback and gives a client of it.
func serve(h http.Handler) (*Server, *peer) {
	s, err := Serve("127.0.0.1:0", h)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	if c, ok := h.(interface{ Close() }); ok {
		DeferCleanup(c.Close)
	}
	return s, newPeer(s.URL())
}

func newPeer(url string) *peer {
	transport := &http.Transport{}
	DeferCleanup(transport.CloseIdleConnections)
	return &peer{http: &http.Client{Transport: transport}, url: url}
}

// call sends a request; header is a list of names and values.
func (p *peer) call(method, path string, body any, header ...string) (*http.Response, error) {
	data, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(method, p.url+path, bytes.NewReader(data))
	Expect(err).NotTo(HaveOccurred())
	req.GetBody = nil
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return p.http.Do(req)
}

// must is call with its body; the call must succeed.
func (p *peer) must(method, path string, body any, header ...string) (*http.Response, []byte) {
	res, err := p.call(method, path, body, header...)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	Expect(err).NotTo(HaveOccurred())
	return res, data
}

func decodeTo[T any](data []byte) T {
	var v T
	ExpectWithOffset(1, json.Unmarshal(data, &v)).To(Succeed(), string(data))
	return v
}

func chat(text string, maxTokens int, stream bool) chatRequest {
	return chatRequest{Messages: []content.Message{{Role: content.RoleUser, Content: text}}, MaxTokens: maxTokens, Stream: stream}
}

// chunks reads the data of an SSE body.
func chunks(body []byte) []string {
	var data []string
	for _, block := range strings.Split(strings.TrimSpace(string(body)), "\n\n") {
		Expect(block).To(HavePrefix("data: "))
		data = append(data, strings.TrimPrefix(block, "data: "))
	}
	return data
}

// clock is a clock that the test moves.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }
