package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"damaskbridge.example/damaskbridge/internal/propertytest"
)

func TestMain(m *testing.M) { propertytest.Main(m, 300) }

func TestConfig(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "config")
}

func readExample(name string) string {
	b, err := os.ReadFile("../examples/" + name)
	Expect(err).NotTo(HaveOccurred())
	return string(b)
}

var _ = ginkgo.Describe("settings files", func() {
	ginkgo.It("in examples/ are valid and contain the defaults", func() {
		entry, control := DefaultEntry(), DefaultControl()
		Expect(Read("../examples/entry.yaml", entry)).To(Succeed())
		Expect(Read("../examples/control.yaml", control)).To(Succeed())
		Expect(entry.Control[0]).To(Equal(Text("10.1.0.10:7400")))
		Expect(entry.Audit).To(Equal(DefaultEntry().Audit))
		Expect(entry.Callers).To(Equal(DefaultEntry().Callers))
		Expect(entry.Process).To(Equal(DefaultEntry().Process))
		Expect(control.IsVoter()).To(BeTrue())
		Expect(control.Audit.Segment).To(Equal(DefaultControl().Audit.Segment))
		Expect(control.Audit.Retention).To(Equal(DefaultControl().Audit.Retention))
	})

	ginkgo.DescribeTable("are rejected with line and remedy for", func(file, old, replacement string, line int, substrings ...string) {
		text := readExample(file)
		Expect(text).To(ContainSubstring(old))
		text = strings.Replace(text, old, replacement, 1)
		var err error
		switch file {
		case "entry.yaml":
			err = parse("s.yaml", []byte(text), DefaultEntry())
		default:
			err = parse("s.yaml", []byte(text), DefaultControl())
		}
		var located *FileError
		Expect(errors.As(err, &located)).To(BeTrue(), "%v", err)
		Expect(located.Line).To(Equal(line), "%v", err)
		Expect(located.File).To(Equal("s.yaml"))
		for _, s := range substrings {
			Expect(err).To(MatchError(ContainSubstring(s)))
		}
	},
		ginkgo.Entry("an unknown key", "entry.yaml", "drain_wait:", "drain_wat:", 9, "drain_wat", "remove it or correct its name"),
		ginkgo.Entry("a duplicate key", "entry.yaml", "members_every: 1s", "listen: 0.0.0.0:1", 17, "keep one of the two"),
		ginkgo.Entry("a number without a unit", "entry.yaml", "drain_wait: 30s", "drain_wait: 30", 9, "write it like"),
		ginkgo.Entry("a wrong unit", "entry.yaml", "max_header: 64KiB", "max_header: 64s", 24, "KiB"),
		ginkgo.Entry("a size with a decimal unit", "entry.yaml", "max_header: 64KiB", "max_header: 64KB", 24, "KiB"),
		ginkgo.Entry("a negative duration", "entry.yaml", "drain_wait: 30s", "drain_wait: -30s", 9, "write it like"),
		ginkgo.Entry("a number instead of a string", "entry.yaml", "name: entry-lagos-1", "name: 17", 4, "put it in quotes"),
		ginkgo.Entry("a string instead of a number", "entry.yaml", "buffer_records: 65536", "buffer_records: many", 20, "expected type"),
		ginkgo.Entry("a list instead of a mapping", "entry.yaml", "callers:\n", "callers: []\nx:\n", 21),
		ginkgo.Entry("a value out of bounds", "entry.yaml", "drain_wait: 30s", "drain_wait: 30h", 9, "use 1s to 1h0m0s"),
		ginkgo.Entry("a control VM listed twice", "entry.yaml", "10.2.0.10:7400", "10.1.0.10:7400", 13, "listed twice"),
		ginkgo.Entry("an unspecified address", "entry.yaml", "10.2.0.10:7400", "0.0.0.0:7400", 13, "cannot be called"),
		ginkgo.Entry("a URL without scheme", "entry.yaml", "http://10.1.0.2:9000/members", "10.1.0.2:9000", 16, "http://"),
		ginkgo.Entry("a missing name", "entry.yaml", "  name: entry-lagos-1\n", "", 4, "vm.name", "missing"),
		ginkgo.Entry("an even number of voters", "control.yaml", "  - {vm: control-onitsha, region: onitsha, address: \"10.3.0.10:7400\"}\n", "", 15, "odd number"),
		ginkgo.Entry("two voters at one address", "control.yaml", "10.2.0.10:7400\"", "10.1.0.10:7400\"", 16, "listed twice"),
		ginkgo.Entry("a retention under a year", "control.yaml", "retention: 400d", "retention: 90d", 20, "366d"),
		ginkgo.Entry("an audit copy on the VM itself", "control.yaml", "copy_to: 10.2.0.10:7400", "copy_to: 10.1.0.10:7400", 21, "another control VM"),
		ginkgo.Entry("a token instead of its digest", "control.yaml", "3f0a377ba0a4a460ecb616f6507ce0d8cfa3e704025d4fda3ed0c5ca05468728", "dbo_secret", 23, "keys token"),
		ginkgo.Entry("one directory for data and keys", "control.yaml", "damaskbridge/data", "damaskbridge/keys", 13, "folder of its own"),
		ginkgo.Entry("an unknown log level", "control.yaml", "log_level: info", "log_level: loud", 8, "use debug"),
		ginkgo.Entry("a second document", "entry.yaml", "max_header: 64KiB\n", "max_header: 64KiB\n---\nlisten: 0.0.0.0:1\n", 0, "second YAML document"),
		ginkgo.Entry("a syntax error", "entry.yaml", "callers:\n", "callers: [\n", 21, "YAML syntax"),
	)

	ginkgo.It("report all invalid values at once", func() {
		text := strings.Replace(readExample("entry.yaml"), "drain_wait: 30s", "drain_wait: 0s", 1)
		text = strings.Replace(text, "log_level: info", "log_level: loud", 1)
		err := parse("s.yaml", []byte(text), DefaultEntry())
		Expect(err).To(MatchError(And(ContainSubstring("s.yaml:8: process.log_level"), ContainSubstring("s.yaml:9: process.drain_wait"))))
	})

	ginkgo.It("that are empty or missing are rejected", func() {
		Expect(parse("s.yaml", nil, DefaultEntry())).To(MatchError(ContainSubstring("empty")))
		Expect(Read("missing.yaml", DefaultEntry())).To(MatchError(ContainSubstring("give the path")))
	})
})

var _ = ginkgo.Describe("logs", func() {
	ginkgo.It("are JSON lines of the given level and above, with the component's prefix", func() {
		var out bytes.Buffer
		logger := NewLoggerFactory("warn", &out).Logger("raft")
		logger.Info("not written")
		logger.Warn("leadership lost", "term", 7)
		var line struct {
			Level, Message string
			Term           int
		}
		Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
		Expect(line.Message).To(Equal("raft: leadership lost"))
		Expect(line.Level).To(Equal("warn"))
		Expect(line.Term).To(Equal(7))
	})
})

// TestValuesRoundTrip guards against a duration or size whose formatted value is
// parsed as another value, and against sizes that overflow.
func TestValuesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Duration(rapid.Int64Range(0, int64(60_000*day)).Draw(t, "duration"))
		if rapid.Bool().Draw(t, "days") {
			d -= d % Duration(day)
		}
		if got, err := ParseDuration(d.String()); err != nil || got != d {
			t.Fatalf("duration %v is parsed as %v, error %v", d, got, err)
		}
		b := Bytes(rapid.Int64Range(0, 1<<50).Draw(t, "bytes") << rapid.IntRange(0, 12).Draw(t, "shift"))
		if got, err := ParseBytes(b.String()); err != nil || got != b {
			t.Fatalf("size %v is parsed as %v, error %v", b, got, err)
		}
	})
	if _, err := ParseBytes("9000000TiB"); err == nil {
		t.Fatal("a size that overflows int64 was accepted")
	}
	if d, err := ParseDuration("2h"); err != nil || d.Std() != 2*time.Hour {
		t.Fatal(d, err)
	}
}
