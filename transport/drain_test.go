package transport_test

import (
	"context"
	"time"

	"damaskbridge.example/damaskbridge/keys"
	"damaskbridge.example/damaskbridge/transport"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a drain with a lost client", func() {
	ginkgo.It("ends although the client never closes its connection", func() {
		// Guards against a drain that waits for a killed peer until its time limit
		// and then fails.
		creds, err := keys.NewEphemeral(
			transport.Peer{VM: "control-1", Role: transport.RoleControl},
			transport.Peer{VM: "entry-1", Role: transport.RoleEntry},
		)
		Expect(err).NotTo(HaveOccurred())
		echo := transport.HandlerFunc(func(_ context.Context, _ transport.Peer, _ transport.Method, body []byte) ([]byte, error) {
			return body, nil
		})
		s, err := transport.Listen("127.0.0.1:0", creds["control-1"], echo)
		Expect(err).NotTo(HaveOccurred())
		r := newRelay(s.Addr())
		c := transport.NewClient(creds["entry-1"])
		ginkgo.DeferCleanup(c.Close)
		_, err = c.Call(context.Background(), r.addr(), transport.MethodStatus, []byte("x"))
		Expect(err).NotTo(HaveOccurred())
		r.dropAllFlows()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		Expect(s.Drain(ctx)).To(Succeed())
	})
})
