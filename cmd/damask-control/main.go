// Command damask-control runs a control VM.
package main

import (
	"os"

	"damaskbridge.example/damaskbridge/config"
	"damaskbridge.example/damaskbridge/controlvm"
	"damaskbridge.example/damaskbridge/daemon"
)

func main() {
	p := daemon.Program[*config.Control]{Name: "damask-control", Defaults: config.DefaultControl, Run: controlvm.Run}
	os.Exit(p.Main(os.Args[1:], os.Stdout, os.Stderr))
}
