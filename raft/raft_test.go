package raft

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/internal/propertytest"
)

func TestMain(m *testing.M) { propertytest.Main(m, 500) }

func TestRaft(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "raft")
}
