package raft

import (
	"flag"
	"os"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestMain(m *testing.M) {
	flag.Parse()
	setFlagDefault("rapid.seed", "20261204")
	setFlagDefault("rapid.checks", "500")
	os.Exit(m.Run())
}

// setFlagDefault sets a flag that the command line does not set.
func setFlagDefault(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if !given {
		_ = flag.Set(name, value)
	}
}

func TestRaft(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "raft")
}
