// Command damask-capacity measures CPU time, memory and internal traffic of the
// system's processes, idle and under load. docs/CAPACITY.md uses its results.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"damaskbridge.example/damaskbridge/capacity"
	"damaskbridge.example/damaskbridge/daemon"
)

func main() {
	deployment := flag.String("deployment", "guild", "sample deployment: dev, guild or nilegate")
	entries := flag.Int("entries", 7, "number of entry VMs")
	controls := flag.Int("controls", 3, "number of control VMs")
	rates := flag.String("rates", "0,50,100,200", "comma-separated request rates per second; 0 measures idle processes")
	duration := flag.Duration("each", 10*time.Second, "duration of each measurement")
	changes := flag.Int("changes", 20, "number of settings changes to time; 0 for none")
	version := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *version {
		fmt.Println("damask-capacity", daemon.Version())
		return
	}
	o := capacity.Options{Deployment: *deployment, Controls: *controls, Entries: *entries, Duration: *duration, Changes: *changes, Out: os.Stdout}
	for _, text := range strings.Split(*rates, ",") {
		rate, err := strconv.ParseFloat(text, 64)
		if err != nil || rate < 0 {
			fmt.Fprintf(os.Stderr, "damask-capacity: -rates: %q is not a number of at least 0\n", text)
			os.Exit(2)
		}
		o.Rates = append(o.Rates, rate)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := capacity.Run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "damask-capacity:", err)
		os.Exit(1)
	}
}
