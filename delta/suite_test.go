package delta

import (
	"flag"
	"os"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	if !given["rapid.seed"] {
		_ = flag.Set("rapid.seed", "20261204")
	}
	if !given["rapid.checks"] {
		_ = flag.Set("rapid.checks", "300")
	}
	os.Exit(m.Run())
}

func TestDelta(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "delta")
}
