package e2e

import (
	"fmt"
	"os/exec"
)

// programs are the binaries that a system needs.
var programs = []string{"damask-entry", "damask-control", "damask-standin", "damaskctl"}

// Build compiles the programs into dir.
func Build(dir string) error {
	for _, name := range programs {
		out, err := exec.Command("go", "build", "-o", dir+"/"+name, "damaskbridge.example/damaskbridge/cmd/"+name).CombinedOutput()
		if err != nil {
			return fmt.Errorf("e2e: build %s: %w: %s", name, err, out)
		}
	}
	return nil
}
