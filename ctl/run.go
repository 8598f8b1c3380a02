package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"

	"damaskbridge.example/damaskbridge/problem"
)

// Exit codes of damaskctl.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
	ExitInvalid  = 4
)

// Version is the program's version, set at build time.
var Version = "devel"

// Env holds the parts of the process environment that damaskctl uses.
type Env struct {
	Stdout, Stderr io.Writer
	Getenv         func(string) string
	ReadFile       func(string) ([]byte, error)
}

// OSEnv returns the environment of this process.
func OSEnv() Env {
	return Env{Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv, ReadFile: os.ReadFile}
}

// commands returns all subcommands in the order that the usage text shows.
func commands() []subcommand {
	return []subcommand{
		{"apply", "apply a document", (*invocation).apply},
		{"account", "account for one request: account REQUEST", (*invocation).account},
		{"audit", "query the audit log", (*invocation).audit},
		{"check", "check a document without a server", (*invocation).check},
		{"diff", "show what a document would change", (*invocation).diff},
		{"drain", "drain an entry VM: drain VM", (*invocation).drain},
		{"get", "show effective values, or one object: get pool NAME", (*invocation).get},
		{"history", "show accepted changes, newest first", (*invocation).history},
		{"keys", "make certificates and tokens: keys init|issue|rotate|renew|retire|token|digest", (*invocation).keys},
		{"status", "show control VMs and entry VMs", (*invocation).status},
		{"unaccounted", "list requests without an end of ended sessions", (*invocation).unaccounted},
		{"verify", "check the hash chain of every audit log", (*invocation).verify},
	}
}

// subcommand is one entry of the usage text and the method that executes it.
type subcommand struct {
	name, summary string
	run           func(*invocation, context.Context) error
}

// invocation holds the environment, flags and arguments with which a subcommand
// was called.
type invocation struct {
	Env
	options
	flags *flag.FlagSet
	args  []string
}

// usageError reports an invalid command line; damaskctl then exits with
// ExitUsage.
type usageError struct{ error }

func usageErrorf(format string, args ...any) error {
	return usageError{fmt.Errorf(format, args...)}
}

// Main runs damaskctl and returns its exit code. args does not include the
// program name.
func Main(ctx context.Context, args []string, env Env) int {
	if len(args) == 0 {
		printUsage(env.Stderr)
		return ExitUsage
	}
	switch args[0] {
	case "-version", "--version":
		fmt.Fprintln(env.Stdout, "damaskctl", Version)
		return ExitOK
	case "-h", "-help", "--help", "help":
		printUsage(env.Stdout)
		return ExitOK
	case "-check", "--check":
		return reportError(env, checkOptions(args[1:], env))
	}
	subcommands := commands()
	i := slices.IndexFunc(subcommands, func(c subcommand) bool { return c.name == args[0] })
	if i < 0 {
		fmt.Fprintf(env.Stderr, "damaskctl: subcommand %q is not known; 'damaskctl help' lists them\n", args[0])
		return ExitUsage
	}
	inv := newInvocation(args[0], args[1:], env)
	err := subcommands[i].run(inv, ctx)
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	return reportError(env, err)
}

func newInvocation(name string, args []string, env Env) *invocation {
	inv := &invocation{Env: env, args: args, flags: flag.NewFlagSet("damaskctl "+name, flag.ContinueOnError)}
	inv.flags.SetOutput(env.Stderr)
	inv.registerFlags(inv.flags, env)
	return inv
}

// parse parses the flags and checks the number of positional arguments, which
// it leaves in inv.args.
func (inv *invocation) parse(minArgs, maxArgs int) error {
	if err := inv.flags.Parse(inv.args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return usageError{err}
	}
	inv.args = inv.flags.Args()
	if len(inv.args) < minArgs || len(inv.args) > maxArgs {
		return usageErrorf("%s takes %d to %d arguments after its flags, %d are given", inv.flags.Name(), minArgs, maxArgs, len(inv.args))
	}
	return nil
}

func printUsage(w io.Writer) {
	fmt.Fprint(w, "usage: damaskctl SUBCOMMAND [flags]\n\n")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-11s  %s\n", c.name, c.summary)
	}
	fmt.Fprint(w, "\n'damaskctl SUBCOMMAND -help' lists the flags. 'damaskctl -check' checks the\n"+
		"control addresses and the token, 'damaskctl -version' shows the version.\n"+
		"Exit codes: 0 done, 1 failed, 2 usage, 3 conflict, 4 invalid settings.\n")
}

// reportError prints err, if any, and returns the exit code for it.
func reportError(env Env, err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(env.Stderr, "damaskctl: %v\n", err)
	var usageErr usageError
	if errors.As(err, &usageErr) {
		return ExitUsage
	}
	p, ok := problem.As(err)
	if !ok {
		return ExitFailed
	}
	switch p.Reason {
	case problem.VersionConflict:
		printWinningChange(env.Stderr, p)
		return ExitConflict
	case problem.InvalidSettings:
		return ExitInvalid
	}
	return ExitFailed
}

// printWinningChange prints the accepted change that p conflicts with, if p
// names one.
func printWinningChange(w io.Writer, p *problem.Problem) {
	if len(p.Winner) == 0 {
		return
	}
	var change any
	if err := json.Unmarshal(p.Winner, &change); err != nil {
		return
	}
	b, err := json.MarshalIndent(change, "  ", "  ")
	if err != nil {
		return
	}
	fmt.Fprintf(w, "winning change:\n  %s\n", b)
}
