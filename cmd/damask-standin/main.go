// Command damask-standin runs simulators of the upstreams of a deployment on
// loopback.
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
	config := flag.String("config", "", "file with the description of the fleet")
	preset := flag.String("preset", "", "known fleet: guild, nilegate or dev")
	admin := flag.String("admin", "", "address of the member list and the switches, ip:port")
	scale := flag.Float64("time-scale", 0, "factor of all simulated working times")
	delay := flag.Duration("relay-delay", 0, "one-way delay of relays between regions")
	bandwidth := flag.Int64("relay-bandwidth", 0, "bytes per second of relays between regions; 0 means no limit")
	flag.Var(&relays, "relay", "relay as protocol,listen,target,from,to; may be repeated")
	check := flag.Bool("check", false, "check the settings and exit")
	version := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *version {
		fmt.Println(buildVersion())
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

func fleetConfig(path, preset string) (standin.FleetConfig, error) {
	switch {
	case path != "" && preset != "":
		return standin.FleetConfig{}, errors.New("give -config or -preset, not both")
	case path != "":
		return standin.LoadFleetConfig(path)
	case preset != "":
		return standin.Preset(preset)
	default:
		return standin.FleetConfig{}, errors.New("give -config or -preset")
	}
}

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

func buildVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return "damask-standin " + info.Main.Version
	}
	return "damask-standin unknown"
}
