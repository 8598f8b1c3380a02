package transport_test

import (
	"context"
	"errors"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/transport"
)

var _ = ginkgo.Describe("the in-process network", func() {
	var network *transport.MemoryNetwork
	var a, b *transport.Endpoint
	var handled int
	ctx := context.Background()

	ginkgo.BeforeEach(func() {
		network = transport.NewMemoryNetwork()
		a = network.Endpoint("a", transport.Peer{VM: "a", Role: transport.RoleEntry})
		b = network.Endpoint("b", transport.Peer{VM: "b", Role: transport.RoleControl})
		handled = 0
		b.Listen(transport.HandlerFunc(func(_ context.Context, p transport.Peer, _ transport.Method, body []byte) ([]byte, error) {
			handled++
			return append([]byte(p.VM), body...), nil
		}))
	})

	ginkgo.It("delivers calls with the caller's identity", func() {
		reply, err := a.Call(ctx, "b", transport.MethodRenew, []byte("!"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(reply)).To(Equal("a!"))
		_, err = b.Call(ctx, "a", transport.MethodRenew, nil)
		Expect(isNotSent(err)).To(BeTrue(), "a has no handler")
	})

	ginkgo.It("drops the request or only the response, depending on which direction is cut", func() {
		network.Cut("a", "b")
		_, err := a.Call(ctx, "b", transport.MethodRenew, nil)
		Expect(errors.Is(err, transport.ErrCut)).To(BeTrue())
		Expect(handled).To(Equal(0))
		network.Heal("a", "b")
		network.Cut("b", "a")
		_, err = a.Call(ctx, "b", transport.MethodRenew, nil)
		Expect(errors.Is(err, transport.ErrCut)).To(BeTrue())
		Expect(isNotSent(err)).To(BeFalse())
		Expect(handled).To(Equal(1))
		network.HealAll()
		_, err = a.Call(ctx, "b", transport.MethodRenew, nil)
		Expect(err).NotTo(HaveOccurred())
	})

	ginkgo.It("delays messages until the delay function returns", func() {
		release := make(chan struct{})
		network.SetDelay(func(_ context.Context, from, _ string, _ transport.Method) {
			if from == "a" {
				<-release
			}
		})
		result := make(chan error, 1)
		go func() {
			_, err := a.Call(ctx, "b", transport.MethodRenew, nil)
			result <- err
		}()
		Consistently(result, "20ms").ShouldNot(Receive())
		close(release)
		Eventually(result, eventTimeout).Should(Receive(BeNil()))
	})

	ginkgo.It("holds calls to a frozen endpoint until it is thawed or the caller cancels", func() {
		network.Freeze("b")
		cancellable, cancel := context.WithCancel(ctx)
		result := make(chan error, 2)
		go func() {
			_, err := a.Call(cancellable, "b", transport.MethodRenew, nil)
			result <- err
		}()
		cancel()
		Eventually(result, eventTimeout).Should(Receive(MatchError(context.Canceled)))
		go func() {
			_, err := a.Call(ctx, "b", transport.MethodRenew, nil)
			result <- err
		}()
		network.Thaw("b")
		Eventually(result, eventTimeout).Should(Receive(BeNil()))
		Expect(handled).To(Equal(1))
	})
})
