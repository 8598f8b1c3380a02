// Command damask-entry runs an entry VM.
package main

import (
	"os"

	"damaskbridge.example/damaskbridge/config"
	"damaskbridge.example/damaskbridge/daemon"
	"damaskbridge.example/damaskbridge/entry"
)

func main() {
	p := daemon.Program[*config.Entry]{Name: "damask-entry", Defaults: config.DefaultEntry, Run: entry.Run}
	os.Exit(p.Main(os.Args[1:], os.Stdout, os.Stderr))
}
