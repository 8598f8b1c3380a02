package daemon

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"damaskbridge.example/damaskbridge/config"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDaemon(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "daemon")
}

// outcome is what one command line came to.
type outcome struct {
	status   int
	out, err string
	// ran is the settings that Run was called with, nil if it was not called.
	ran *config.Control
}

// start runs the program with the command line; its Run gives runErr.
func start(runErr error, args ...string) outcome {
	var o outcome
	p := Program[*config.Control]{
		Name: "damask-control", Defaults: config.DefaultControl,
		Run: func(ctx context.Context, s *config.Control) error {
			o.ran = s
			Expect(ctx.Err()).NotTo(HaveOccurred())
			return runErr
		},
	}
	var out, errOut bytes.Buffer
	o.status = p.Main(args, &out, &errOut)
	o.out, o.err = out.String(), errOut.String()
	return o
}

const example = "../examples/control.yaml"

// edited writes a copy of the example with one text replaced, and gives its
// path and the line of the replacement.
func edited(from, to string) (path string, line int) {
	raw, err := os.ReadFile(example)
	Expect(err).NotTo(HaveOccurred())
	head, _, found := strings.Cut(string(raw), from)
	Expect(found).To(BeTrue())
	path = filepath.Join(ginkgo.GinkgoT().TempDir(), "control.yaml")
	Expect(os.WriteFile(path, []byte(strings.Replace(string(raw), from, to, 1)), 0o600)).To(Succeed())
	return path, strings.Count(head, "\n") + 1
}

var _ = ginkgo.Describe("a program's command line", func() {
	ginkgo.It("prints its name and version without settings", func() {
		o := start(nil, "-version")
		Expect(o.status).To(Equal(0))
		Expect(o.out).To(Equal("damask-control " + Version() + "\n"))
		Expect(o.err).To(BeEmpty())
		Expect(o.ran).To(BeNil())
	})

	ginkgo.It("only checks the settings with -check, so that a check on a live VM starts nothing", func() {
		o := start(nil, "-settings", example, "-check")
		Expect(o.status).To(Equal(0))
		Expect(o.out).To(Equal("damask-control: " + example + " is valid\n"))
		Expect(o.ran).To(BeNil())
	})

	ginkgo.It("runs with the settings of the file", func() {
		o := start(nil, "-settings", example)
		Expect(o.status).To(Equal(0))
		Expect(o.err).To(BeEmpty())
		Expect(o.ran.VM.Name).To(Equal(config.Text("control-lagos")))
	})

	ginkgo.It("ends with 1 and the reason when it fails, so that the service manager starts it again", func() {
		o := start(errors.New("the disk is full"), "-settings", example)
		Expect(o.status).To(Equal(1))
		Expect(o.err).To(Equal("damask-control: the disk is full\n"))
	})

	ginkgo.DescribeTable("ends with 2 for a command line that starting again cannot mend",
		func(want string, args ...string) {
			o := start(nil, args...)
			Expect(o.status).To(Equal(2))
			Expect(o.err).To(ContainSubstring(want))
			Expect(o.out).To(BeEmpty())
			Expect(o.ran).To(BeNil())
		},
		ginkgo.Entry("no settings", "give -settings FILE"),
		ginkgo.Entry("-check without settings", "give -settings FILE", "-check"),
		ginkgo.Entry("an unknown flag", "-setings", "-setings", "a.yaml"),
		ginkgo.Entry("a flag without its value", "settings", "-settings"),
		ginkgo.Entry("a bad boolean", "check", "-check=perhaps"),
		ginkgo.Entry("a missing file", "none.yaml: ", "-settings", "none.yaml"),
		ginkgo.Entry("an argument that is no flag, after which flags would be ignored", `"extra"`, "-settings", example, "extra", "-check"),
	)

	ginkgo.It("lists its flags for -help and ends with 0", func() {
		o := start(nil, "-help")
		Expect(o.status).To(Equal(0))
		for _, name := range []string{"settings", "check", "version"} {
			Expect(o.err).To(ContainSubstring("-" + name))
		}
	})

	ginkgo.DescribeTable("names the file and the line of a wrong setting, with and without -check",
		func(from, to, detail string) {
			path, line := edited(from, to)
			for _, args := range [][]string{{"-settings", path}, {"-settings", path, "-check"}} {
				o := start(nil, args...)
				Expect(o.status).To(Equal(2))
				Expect(o.err).To(HavePrefix("damask-control: %s:%d: ", path, line))
				Expect(o.err).To(ContainSubstring(detail))
				Expect(o.ran).To(BeNil())
			}
		},
		ginkgo.Entry("an unknown key", "listen:", "listenn:", "listenn"),
		ginkgo.Entry("a value out of its range", "retention: 400d", "retention: 3d", "retention"),
		ginkgo.Entry("a value of the wrong type", "segment: 64MiB", "segment: [1]", "a single value is expected"),
	)
})
