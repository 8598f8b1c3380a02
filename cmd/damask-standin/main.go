// Command damask-standin simulates the upstreams of a deployment on loopback.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"damaskbridge.example/damaskbridge/relay"
	"damaskbridge.example/damaskbridge/standin"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "standin: "+err.Error())
		os.Exit(1)
	}
}

func run() error {
	var relays relayFlags
	config := flag.String("config", "", "file that describes the fleet, in YAML")
	preset := flag.String("preset", "", "built-in fleet: guild, nilegate or dev")
	admin := flag.String("admin", "", "ip:port of the admin server: runner lists, links, fault injection, counters and audit")
	scale := flag.Float64("time-scale", 0, "factor applied to all simulated processing times; 0 keeps that of the fleet")
	delay := flag.Duration("relay-delay", 0, "one-way delay of relays between regions")
	bandwidth := flag.Int64("relay-bandwidth", 0, "bandwidth of relays between regions in bytes per second; 0 means no limit")
	flag.Var(&relays, "relay", "relay as protocol,listen,target,from,to; repeatable")
	check := flag.Bool("check", false, "check the settings and exit")
	version := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *version {
		fmt.Println(versionString())
		return nil
	}
	c, err := fleetConfig(*config, *preset)
	if err != nil {
		return err
	}
	if *admin != "" {
		c.AdminAddress = *admin
	}
	if *scale != 0 {
		c.TimeScale = *scale
	}
	if err := c.Check(); err != nil {
		return err
	}
	if *check {
		fmt.Println("standin: the settings are valid")
		return nil
	}
	network := relay.NewNetwork(*delay, *bandwidth)
	defer network.Close()
	if err := relays.start(network); err != nil {
		return err
	}
	return serve(c)
}

// fleetConfig loads the fleet from the file or the preset, of which exactly one
// must be given.
func fleetConfig(path, preset string) (standin.FleetConfig, error) {
	switch {
	case path != "" && preset != "":
		return standin.FleetConfig{}, errors.New("-config and -preset exclude each other")
	case path != "":
		return standin.LoadFleetConfig(path)
	case preset != "":
		return standin.Preset(preset)
	default:
		return standin.FleetConfig{}, errors.New("-config or -preset is required")
	}
}

// serve runs the fleet until SIGINT or SIGTERM.
func serve(c standin.FleetConfig) error {
	fleet, err := standin.StartFleet(c)
	if err != nil {
		return err
	}
	defer fleet.Close()
	fmt.Printf("standin: %d upstreams of fleet %s\n", len(fleet.Upstreams()), c.Name)
	fmt.Printf("standin: members at %s\n", fleet.MembersURL())
	fmt.Printf("standin: weights at %s\n", fleet.WeightsURL())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	return nil
}

func versionString() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return "damask-standin " + info.Main.Version
	}
	return "damask-standin unknown"
}
