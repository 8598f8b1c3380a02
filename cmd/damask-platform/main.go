// Command damask-platform runs an entry VM or a control VM on the users'
// platform, whose protocols package platform translates.
package main

import (
	"os"

	"damaskbridge.example/damaskbridge/platform"
)

func main() { os.Exit(platform.Main(os.Args[1:], os.Stdout, os.Stderr)) }
