// Command damaskctl is the operator command-line tool: it applies and reads
// settings, shows the state of the system, drains entry VMs and queries the
// audit log.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"damaskbridge.example/damaskbridge/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Main(ctx, os.Args[1:], ctl.OSEnv())
	stop()
	os.Exit(code)
}
