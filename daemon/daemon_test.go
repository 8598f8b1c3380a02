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

// result is the outcome of running the program with one command line.
type result struct {
	exitStatus int
	out, err   string
	// settings is what Run was called with, nil if it was not called.
	settings *config.Control
}

// runProgram runs the program with the given arguments; its Run returns runErr.
func runProgram(runErr error, args ...string) result {
	var r result
	p := Program[*config.Control]{
		Name: "damask-control", Defaults: config.DefaultControl,
		Run: func(ctx context.Context, s *config.Control) error {
			r.settings = s
			Expect(ctx.Err()).NotTo(HaveOccurred())
			return runErr
		},
	}
	var out, errOut bytes.Buffer
	r.exitStatus = p.Main(args, &out, &errOut)
	r.out, r.err = out.String(), errOut.String()
	return r
}

const examplePath = "../examples/control.yaml"

// editExample writes a copy of the example settings with the first occurrence of
// from replaced by to. It returns the copy's path and the line of the change.
func editExample(from, to string) (path string, line int) {
	raw, err := os.ReadFile(examplePath)
	Expect(err).NotTo(HaveOccurred())
	head, _, found := strings.Cut(string(raw), from)
	Expect(found).To(BeTrue())
	path = filepath.Join(ginkgo.GinkgoT().TempDir(), "control.yaml")
	Expect(os.WriteFile(path, []byte(strings.Replace(string(raw), from, to, 1)), 0o600)).To(Succeed())
	return path, strings.Count(head, "\n") + 1
}

var _ = ginkgo.Describe("a program's command line", func() {
	ginkgo.It("prints its name and version without settings", func() {
		r := runProgram(nil, "-version")
		Expect(r.exitStatus).To(Equal(0))
		Expect(r.out).To(Equal("damask-control " + Version() + "\n"))
		Expect(r.err).To(BeEmpty())
		Expect(r.settings).To(BeNil())
	})

	ginkgo.It("only checks the settings with -check, so that a check on a production VM starts no server", func() {
		r := runProgram(nil, "-settings", examplePath, "-check")
		Expect(r.exitStatus).To(Equal(0))
		Expect(r.out).To(Equal("damask-control: " + examplePath + " is valid\n"))
		Expect(r.settings).To(BeNil())
	})

	ginkgo.It("runs with the settings from the file", func() {
		r := runProgram(nil, "-settings", examplePath)
		Expect(r.exitStatus).To(Equal(0))
		Expect(r.err).To(BeEmpty())
		Expect(r.settings.VM.Name).To(Equal(config.Text("control-lagos")))
	})

	ginkgo.It("exits with 1 and prints the error when it fails, so that the service manager restarts it", func() {
		r := runProgram(errors.New("the disk is full"), "-settings", examplePath)
		Expect(r.exitStatus).To(Equal(1))
		Expect(r.err).To(Equal("damask-control: the disk is full\n"))
	})

	ginkgo.DescribeTable("exits with 2 for an error that a restart cannot fix",
		func(want string, args ...string) {
			r := runProgram(nil, args...)
			Expect(r.exitStatus).To(Equal(2))
			Expect(r.err).To(ContainSubstring(want))
			Expect(r.out).To(BeEmpty())
			Expect(r.settings).To(BeNil())
		},
		ginkgo.Entry("no settings", "-settings FILE is required"),
		ginkgo.Entry("-check without settings", "-settings FILE is required", "-check"),
		ginkgo.Entry("an unknown flag", "-setings", "-setings", "a.yaml"),
		ginkgo.Entry("a flag without its value", "settings", "-settings"),
		ginkgo.Entry("an invalid boolean", "check", "-check=perhaps"),
		ginkgo.Entry("a missing file", "none.yaml: ", "-settings", "none.yaml"),
		ginkgo.Entry("a positional argument, after which flags would be ignored", `"extra"`, "-settings", examplePath, "extra", "-check"),
	)

	ginkgo.It("lists its flags for -help and exits with 0", func() {
		r := runProgram(nil, "-help")
		Expect(r.exitStatus).To(Equal(0))
		for _, name := range []string{"settings", "check", "version"} {
			Expect(r.err).To(ContainSubstring("-" + name))
		}
	})

	ginkgo.DescribeTable("reports the file and the line of an invalid setting, with and without -check",
		func(from, to, detail string) {
			path, line := editExample(from, to)
			for _, args := range [][]string{{"-settings", path}, {"-settings", path, "-check"}} {
				r := runProgram(nil, args...)
				Expect(r.exitStatus).To(Equal(2))
				Expect(r.err).To(HavePrefix("damask-control: %s:%d: ", path, line))
				Expect(r.err).To(ContainSubstring(detail))
				Expect(r.settings).To(BeNil())
			}
		},
		ginkgo.Entry("an unknown key", "listen:", "listenn:", "listenn"),
		ginkgo.Entry("a value out of range", "retention: 400d", "retention: 3d", "retention"),
		ginkgo.Entry("a value of the wrong type", "segment: 64MiB", "segment: [1]", "a single value is expected"),
	)
})
