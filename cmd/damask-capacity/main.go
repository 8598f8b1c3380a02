// Command damask-capacity measures processor time, memory and bytes of the
// system's processes, idle and under load, for docs/CAPACITY.md.
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
	deployment := flag.String("deployment", "guild", "dev, guild or nilegate")
	entries := flag.Int("entries", 7, "entry VMs")
	controls := flag.Int("controls", 3, "control VMs")
	rates := flag.String("rates", "0,50,100,200", "requests a second, 0 for idle, joined by commas")
	each := flag.Duration("each", 10*time.Second, "time of each measurement")
	changes := flag.Int("changes", 20, "settings changes to time")
	version := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *version {
		fmt.Println("damask-capacity", daemon.Version())
		return
	}
	o := capacity.Options{Deployment: *deployment, Controls: *controls, Entries: *entries, Each: *each, Changes: *changes, Out: os.Stdout}
	for _, text := range strings.Split(*rates, ",") {
		rate, err := strconv.ParseFloat(text, 64)
		if err != nil || rate < 0 {
			fmt.Fprintf(os.Stderr, "damask-capacity: rate %q is no number from 0\n", text)
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
