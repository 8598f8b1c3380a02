package config

import (
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("settings of a deployed process", func() {
	ginkgo.It("in the example are valid and yield the addresses of other VMs", func() {
		d := DefaultDeployed()
		Expect(Read("../examples/platform.yaml", d)).To(Succeed())
		Expect(d.InterVM()).To(Equal("10.1.0.20:7740"))
		Expect(d.InterVMSeeds()).To(Equal([]string{"10.1.0.36:7740", "10.2.0.14:7740", "10.3.0.17:7740"}))
		Expect(d.ListenInterVM()).To(Equal("10.1.0.20:7740"))
		Expect(d.Memory).To(Equal(Bytes(256 << 20)))
		Expect(d.DrainTime.Std()).To(Equal(4 * time.Second))
		Expect(d.RunnerListLag.Std()).To(Equal(800 * time.Millisecond))
		Expect(d.Repeats.Slack).To(Equal(54.0))
	})

	ginkgo.It("allow a listen address that differs from the address for other VMs", func() {
		d := DefaultDeployed()
		text := readExample("platform.yaml") + "inter_vm_listen: 10.1.0.20:7750\n"
		Expect(parse("s.yaml", []byte(text), d)).To(Succeed())
		Expect(d.ListenInterVM()).To(Equal("10.1.0.20:7750"))
		Expect(d.InterVM()).To(Equal("10.1.0.20:7740"))
	})

	ginkgo.DescribeTable("are rejected with the remedy for",
		func(old, replacement, substring string) {
			text := readExample("platform.yaml")
			Expect(text).To(ContainSubstring(old))
			err := parse("s.yaml", []byte(strings.Replace(text, old, replacement, 1)), DefaultDeployed())
			Expect(err).To(MatchError(ContainSubstring(substring)))
		},
		ginkgo.Entry("an unknown key", "drain_time:", "drain_tiem:", "remove it or correct its name"),
		ginkgo.Entry("an address without a port", "callers: 10.1.0.20:8625", "callers: 10.1.0.20", "ip:port"),
		ginkgo.Entry("a seed with a host name", `"10.2.0.14:8628"`, `"control-2:8628"`, "ip:port"),
		ginkgo.Entry("an invalid IP address", "ip: 10.1.0.20", "ip: here", "not an IP address"),
		ginkgo.Entry("a port out of bounds", "inter_vm_port: 7740", "inter_vm_port: 77400", "out of bounds"),
		ginkgo.Entry("more connections than the memory holds", "memory: 256MiB", "memory: 256MiB\nclients: {connections: 3277}", "use 0 to 3276"),
		ginkgo.Entry("a list that lags too long", "runner_list_lag: 800ms", "runner_list_lag: 61s", "out of bounds"),
		ginkgo.Entry("too little memory", "memory: 256MiB", "memory: 1MiB", "out of bounds"),
	)
})
