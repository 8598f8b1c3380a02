package atomicfile

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
)

func TestWriteReplacesTheContentAndLeavesNothingElse(t *testing.T) {
	g := gomega.NewWithT(t)
	path := filepath.Join(t.TempDir(), "file")
	for _, content := range []string{"a longer content", "short"} {
		g.Expect(Write(path, []byte(content), 0o600)).To(gomega.Succeed())
		b, err := os.ReadFile(path)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(b)).To(gomega.Equal(content))
	}
	info, err := os.Stat(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(info.Mode().Perm()).To(gomega.Equal(os.FileMode(0o600)))
	files, err := os.ReadDir(filepath.Dir(path))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(files).To(gomega.HaveLen(1))
}

// Guards against a failed write that damages the old content.
func TestWriteThatFailsKeepsTheOldContent(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := filepath.Join(t.TempDir(), "dir")
	path := filepath.Join(dir, "file")
	g.Expect(Write(path, []byte("new"), 0o600)).NotTo(gomega.Succeed())
	g.Expect(os.MkdirAll(filepath.Join(path, "child"), 0o700)).To(gomega.Succeed())
	g.Expect(Write(path, []byte("new"), 0o600)).NotTo(gomega.Succeed())
	files, err := os.ReadDir(dir)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(files).To(gomega.HaveLen(1))
}
