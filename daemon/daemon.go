// Package daemon holds what the long-running programs have in common: flags,
// signals and the version.
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
	// Defaults gives the settings before the file is read.
	Defaults func() S
	// Run serves until ctx ends, then drains.
	Run func(ctx context.Context, s S) error
}

// Main runs the program with the command line and gives its exit status: 0 for
// an orderly end, 1 for a failure, 2 for wrong flags or settings.
func (p *Program[S]) Main(args []string, out, errOut io.Writer) int {
	flags := flag.NewFlagSet(p.Name, flag.ContinueOnError)
	flags.SetOutput(errOut)
	path := flags.String("settings", "", "YAML file with the settings")
	check := flags.Bool("check", false, "check the settings and exit")
	version := flags.Bool("version", false, "print the version and exit")
	err := flags.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		return 2
	}
	if flags.NArg() > 0 {
		// Package flag stops at the first argument that is no flag; a -check
		// after it would be ignored and the program would run.
		fmt.Fprintf(errOut, "%s: argument %q is no flag; remove it\n", p.Name, flags.Arg(0))
		return 2
	}
	if *version {
		fmt.Fprintln(out, p.Name, Version())
		return 0
	}
	if *path == "" {
		fmt.Fprintf(errOut, "%s: give -settings FILE\n", p.Name)
		return 2
	}
	s := p.Defaults()
	if err := config.Read(*path, s); err != nil {
		fmt.Fprintf(errOut, "%s: %v\n", p.Name, err)
		return 2
	}
	if *check {
		fmt.Fprintf(out, "%s: %s is valid\n", p.Name, *path)
		return 0
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := p.Run(ctx, s); err != nil {
		fmt.Fprintf(errOut, "%s: %v\n", p.Name, err)
		return 1
	}
	return 0
}

// Version gives the module's version and the revision it was built from.
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
