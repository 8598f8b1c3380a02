package delta

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// values returns n values that are as long as an encoded runner.
func values(n int) [][]byte {
	list := make([][]byte, n)
	for i := range list {
		list[i] = fmt.Appendf(nil, "\xa6\x01ji-%08x\x02kmember-roll\x03r10.128.%d.%d:8080\x04nlagos-surulere\x05\x01\x08\x1b%d", uint32(i)*2654435761, i/250, i%250, 1_700_000_000_000+i*977)
	}
	return list
}

// exchange lets a store ask another one, and returns the reply.
func exchange(now time.Time, to, from *Store) *Changes {
	known := to.Versions(now)
	reply, err := from.ChangesFor(now, now, known, everything)
	Expect(err).NotTo(HaveOccurred())
	_, err = to.Apply(now, known, reply)
	Expect(err).NotTo(HaveOccurred())
	return reply
}

// payload returns the number of bytes of content in a reply.
func payload(c *Changes) (n int) {
	for _, u := range c.Updates {
		n += len(u.Whole)
		if u.Difference != nil {
			n += 8 * len(u.Difference.Removed)
			for _, v := range u.Difference.Added {
				n += len(v)
			}
		}
	}
	return n
}

var _ = ginkgo.Describe("Store", func() {
	const name = "runners/z"

	// Guards against content that gets younger each time it is passed on: nobody
	// notices then that its reader is gone, as it seems to be read again and again.
	ginkgo.It("never states content as younger than it is", func() {
		first, second := NewStore(), NewStore()
		first.Put(name, epoch, NewSet(values(3)))
		for i := range 1000 {
			now := epoch.Add(time.Duration(i)*7*time.Millisecond + time.Duration(i*i)*time.Microsecond)
			exchange(now, second, first)
			exchange(now.Add(300*time.Microsecond), first, second)
			for _, st := range []*Store{first, second} {
				_, asOf := st.Get(name)
				Expect(asOf.After(epoch)).To(BeFalse(), "as of %v after the reading, exchange %d", asOf.Sub(epoch), i)
			}
		}
	})

	// Guards against cost that grows with the number of runners when one of them
	// changes.
	ginkgo.It("sends one change of a long list as that change, whoever serves it", func() {
		now := epoch
		all := values(3000)
		first, second, client := NewStore(), NewStore(), NewStore()
		for _, st := range []*Store{first, second} {
			st.Put(name, now, NewSet(all))
		}
		exchange(now, client, first)
		now = now.Add(time.Second)
		changed := append(values(3000)[1:], []byte("another runner"))
		for _, st := range []*Store{first, second} {
			st.Put(name, now, NewSet(changed))
		}
		reply := exchange(now, client, second)
		Expect(payload(reply)).To(Equal(8 + len("another runner")))
		set, asOf := client.Get(name)
		Expect(set.Digest()).To(Equal(NewSet(changed).Digest()))
		Expect(asOf).To(Equal(now))
		Expect(payload(exchange(now, client, first))).To(BeZero())
	})

	ginkgo.It("sends the whole list to a VM that is too far behind", func() {
		now := epoch
		server, client := NewStore(), NewStore()
		server.Put(name, now, NewSet(values(10)))
		exchange(now, client, server)
		for i := range maxHistory + 1 {
			now = now.Add(time.Second)
			server.Put(name, now, NewSet(values(11+i)))
		}
		reply := exchange(now, client, server)
		Expect(reply.Updates).To(HaveLen(1))
		Expect(reply.Updates[0].Difference).To(BeNil())
		set, _ := client.Get(name)
		Expect(set.Len()).To(Equal(11 + maxHistory))
	})

	// Guards against a snapshot with every call of an entry VM whose control VM
	// lags behind the one before.
	ginkgo.It("sends nothing to a VM that holds newer content", func() {
		now := epoch
		fast, slow, client := NewStore(), NewStore(), NewStore()
		slow.Put(name, now, NewSet(values(3)))
		now = now.Add(time.Second)
		fast.Put(name, now, NewSet(values(4)))
		exchange(now, client, fast)
		reply := exchange(now, client, slow)
		Expect(reply.Updates).To(BeEmpty())
		set, _ := client.Get(name)
		Expect(set.Len()).To(Equal(4))
	})

	ginkgo.It("keeps its set and says so if content is damaged", func() {
		now := epoch
		server, client := NewStore(), NewStore()
		server.Put(name, now, NewSet(values(3)))
		exchange(now, client, server)
		server.Put(name, now.Add(time.Second), NewSet(values(4)))
		known := client.Versions(now)
		reply, err := server.ChangesFor(now, now, known, everything)
		Expect(err).NotTo(HaveOccurred())
		reply.Updates[0].Difference.Added[0] = []byte("damaged")
		changed, err := client.Apply(now, known, reply)
		var mismatch *MismatchError
		Expect(errors.As(err, &mismatch)).To(BeTrue())
		Expect(changed).To(BeEmpty())
		Expect(payload(exchange(now, client, server))).To(BeNumerically(">", 0))
	})

	// Guards against a reply that was overtaken: the runner c has been listed
	// again since, and the old difference would take it away.
	ginkgo.It("does not apply a difference to other content than it was made for", func() {
		now := epoch
		client := NewStore()
		old, next, newest := NewSet([][]byte{[]byte("a"), []byte("c")}), NewSet([][]byte{[]byte("a"), []byte("b")}), NewSet([][]byte{[]byte("a"), []byte("b"), []byte("c")})
		server := NewStore()
		server.Put(name, now, old)
		exchange(now, client, server)
		known := client.Versions(now)
		server.Put(name, now.Add(time.Second), next)
		overtaken, err := server.ChangesFor(now, now, known, everything)
		Expect(err).NotTo(HaveOccurred())
		server.Put(name, now.Add(2*time.Second), newest)
		exchange(now, client, server)
		changed, err := client.Apply(now.Add(time.Minute), known, overtaken)
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(BeEmpty())
		set, _ := client.Get(name)
		Expect(set).To(HaveField("Digest()", newest.Digest()))
	})

	// Guards against a control VM that lags behind: it has had the present content
	// before and takes its own, older one for the next.
	ginkgo.It("does not go back to content that lies between two equal ones", func() {
		now := epoch
		a, b := NewSet(values(1)), NewSet(values(2))
		lagging, client := NewStore(), NewStore()
		lagging.Put(name, now, a)
		lagging.Put(name, now.Add(time.Second), b)
		client.Put(name, now.Add(2*time.Second), a)
		now = now.Add(3 * time.Second)
		Expect(exchange(now, client, lagging).Updates).To(BeEmpty())
		known := []Version{{Name: name, Digest: a.Digest(), AgeMS: 3000}}
		overtaken, err := lagging.ChangesFor(now, now, known, everything)
		Expect(err).NotTo(HaveOccurred())
		Expect(overtaken.Updates).To(HaveLen(1))
		changed, err := client.Apply(now, known, overtaken)
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(BeEmpty())
	})

	ginkgo.It("takes the age of a set only for the content that it was told for", func() {
		client := NewStore()
		client.Put(name, epoch, NewSet(values(2)))
		later := epoch.Add(time.Minute)
		told := []Version{{Name: name, Digest: NewSet(values(1)).Digest()}}
		_, err := client.Apply(later, told, &Changes{AgesMS: []int64{0}})
		Expect(err).NotTo(HaveOccurred())
		_, asOf := client.Get(name)
		Expect(asOf).To(Equal(epoch))
	})

	ginkgo.It("refuses a whole set that is not what its digest says", func() {
		server, client := NewStore(), NewStore()
		server.Put(name, epoch, NewSet(values(2)))
		reply, err := server.ChangesFor(epoch, epoch, nil, everything)
		Expect(err).NotTo(HaveOccurred())
		reply.Updates[0].Digest++
		_, err = client.Apply(epoch, nil, reply)
		Expect(err).To(HaveOccurred())
		Expect(client.Names()).To(BeEmpty())
	})

	// All VMs start at once after a power loss. An entry VM's link carries
	// 10 Mbit/s and it has to serve within a second.
	ginkgo.It("brings a thousand VMs that start at once up to date within a second of their links", func() {
		now := epoch
		server := NewStore()
		const zones, runners = 6, 12000
		for zone := range zones {
			server.Put(fmt.Sprint("runners/", zone), now, NewSet(values(runners/zones)))
		}
		const linkBytesPerSecond = 10_000_000 / 8
		var compressed [][]byte
		for range 1000 {
			reply := exchange(now, NewStore(), server)
			Expect(payload(reply)).To(BeNumerically("<", linkBytesPerSecond))
			compressed = append(compressed, reply.Updates[0].Whole)
		}
		for _, c := range compressed {
			Expect(&c[0]).To(BeIdenticalTo(&compressed[0][0]), "a set is compressed once")
		}
	})
})

var _ = ginkgo.Describe("Patch", func() {
	base := []byte(`{"version":7,"routes":[{"name":"r-1","timeout_ms":8000},{"name":"r-2","timeout_ms":6000}]}`)
	target := []byte(`{"version":9,"routes":[{"name":"r-1","timeout_ms":8000},{"name":"r-2","timeout_ms":6500}]}`)

	ginkgo.It("turns a document into the next one", func() {
		p, err := NewPatch(base, target)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Apply(base)).To(Equal(target))
		whole, err := NewPatch(nil, target)
		Expect(err).NotTo(HaveOccurred())
		Expect(whole.Apply(nil)).To(Equal(target))
	})

	// Guards against a document put together from two versions. A base that agrees
	// wherever the patch copies from it gives the target, which is as good.
	ginkgo.It("makes its target or fails", func() {
		p, err := NewPatch(base, target)
		Expect(err).NotTo(HaveOccurred())
		for i := range base {
			other := slices.Clone(base)
			other[i]++
			if got, err := p.Apply(other); err == nil {
				Expect(got).To(Equal(target))
			}
		}
		for _, other := range [][]byte{nil, []byte("x"), append(slices.Clone(base), 'x')} {
			_, err := p.Apply(other)
			Expect(err).To(HaveOccurred())
		}
	})

	// Guards against a peer that fills the memory of an entry VM.
	ginkgo.It("does not expand beyond its limit", func() {
		data, err := compress(nil, make([]byte, maxDecompressedBytes+1))
		Expect(err).NotTo(HaveOccurred())
		_, err = decompress(nil, data)
		Expect(err).To(HaveOccurred())
	})
})
