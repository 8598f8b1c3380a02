package problem

import (
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

func TestProblem(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "problem")
}

var _ = ginkgo.Describe("problem kinds", func() {
	ginkgo.It("have a status, a title, a remedy and a row in docs/api.md", func() {
		page, err := os.ReadFile("../docs/api.md")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		for _, k := range Kinds() {
			p := New(k, NotRun, "x")
			gomega.Expect(p.Status).To(gomega.BeNumerically(">=", 400), string(k))
			gomega.Expect(p.Title).NotTo(gomega.BeEmpty(), string(k))
			gomega.Expect(p.Remedy).NotTo(gomega.BeEmpty(), string(k))
			gomega.Expect(strings.Contains(string(page), "| `"+string(k)+"` |")).To(gomega.BeTrue(), "docs/api.md has no row for "+string(k))
		}
	})

	ginkgo.It("round the time until a retry up to whole seconds in the Retry-After header", func() {
		w := httptest.NewRecorder()
		New(Overloaded, NotRun, "x").WithRetryAfter(1100 * time.Millisecond).Write(w)
		gomega.Expect(w.Header().Get("Retry-After")).To(gomega.Equal("2"))
		gomega.Expect(w.Header().Get("Content-Type")).To(gomega.Equal(ContentType))
	})
})
