// Package daemon implements the command line of the long-running programs: their
// flags, signal handling and version output, and their plain HTTP servers.
package daemon

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"damaskbridge.example/damaskbridge/config"
)

// Program is a long-running program with settings of type S.
type Program[S config.Settings] struct {
	Name string
	// Defaults returns the settings that the settings file overrides.
	Defaults func() S
	// Run serves until ctx ends, then drains and returns.
	Run func(ctx context.Context, s S) error
}

// Main runs the program with the given command-line arguments and returns its
// exit status: 0 for success, 1 for a failure, 2 for invalid flags or settings.
// SIGINT and SIGTERM end the context of Run.
func (p *Program[S]) Main(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet(p.Name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	settingsPath := flags.String("settings", "", "YAML file with the settings")
	checkOnly := flags.Bool("check", false, "check the settings and exit")
	printVersion := flags.Bool("version", false, "print the version and exit")
	err := flags.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		return 2
	}
	if flags.NArg() > 0 {
		// Package flag stops parsing at the first positional argument. A -check
		// after it would be ignored and the program would start.
		fmt.Fprintf(stderr, "%s: unexpected argument %q; remove it\n", p.Name, flags.Arg(0))
		return 2
	}
	if *printVersion {
		fmt.Fprintln(stdout, p.Name, Version())
		return 0
	}
	if *settingsPath == "" {
		fmt.Fprintf(stderr, "%s: -settings FILE is required\n", p.Name)
		return 2
	}
	s := p.Defaults()
	if err := config.Read(*settingsPath, s); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", p.Name, err)
		return 2
	}
	if *checkOnly {
		fmt.Fprintf(stdout, "%s: %s is valid\n", p.Name, *settingsPath)
		return 0
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := p.Run(ctx, s); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", p.Name, err)
		return 1
	}
	return 0
}

// Version returns the module's version and the VCS revision that it was built
// from, or "unknown" without build information.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			version += " " + s.Value
		}
	}
	return version
}
