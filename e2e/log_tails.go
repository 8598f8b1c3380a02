package e2e

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// logTailBytes is how much of the end of each process's log is shown.
const logTailBytes = 2000

// logTails returns the ends of the logs of all processes. The folder is gone once
// a test has failed.
func (s *System) logTails() string {
	files, err := filepath.Glob(filepath.Join(s.opts.Dir, "*.log"))
	if err != nil {
		return err.Error()
	}
	var b strings.Builder
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			text = []byte(err.Error())
		}
		fmt.Fprintf(&b, "== %s\n%s\n", filepath.Base(file), text[max(0, len(text)-logTailBytes):])
	}
	return b.String()
}
