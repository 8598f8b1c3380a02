package batch

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/internal/propertytest"
)

func TestMain(m *testing.M) { propertytest.Main(m, 300) }

func TestBatch(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "batch")
}
