// Command damask-dev runs a complete sample deployment in one process on
// loopback, for demos and manual tests.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"damaskbridge.example/damaskbridge/daemon"
	"damaskbridge.example/damaskbridge/dev"
)

func main() {
	once := flag.Bool("once", false, "send one request of each kind, check the responses and the audit log, and exit")
	name := flag.String("deployment", "dev", "sample deployment: dev, guild or nilegate")
	version := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *version {
		fmt.Println("damask-dev", daemon.Version())
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := dev.Run(ctx, dev.Options{Deployment: *name, Once: *once, Out: os.Stdout}); err != nil {
		fmt.Fprintln(os.Stderr, "damask-dev:", err)
		os.Exit(1)
	}
}
