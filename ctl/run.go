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
	"strings"
	"time"

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

// Env is what a run of damaskctl needs of its process.
type Env struct {
	Stdout, Stderr io.Writer
	Getenv         func(string) string
	ReadFile       func(string) ([]byte, error)
}

// OSEnv gives the environment of this process.
func OSEnv() Env {
	return Env{Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv, ReadFile: os.ReadFile}
}

// commands lists the subcommands by name.
func commands() []subcommand {
	return []subcommand{
		{"apply", "apply a document", (*run).apply},
		{"account", "account for one request: account REQUEST", (*run).account},
		{"audit", "query the audit log", (*run).audit},
		{"check", "check a document without a server", (*run).check},
		{"diff", "show what a document would change", (*run).diff},
		{"drain", "drain an entry VM: drain VM", (*run).drain},
		{"get", "show effective values, or one object: get pool NAME", (*run).get},
		{"history", "show accepted changes, newest first", (*run).history},
		{"keys", "make certificates and tokens: keys init|issue|rotate|renew|retire|token|digest", (*run).keys},
		{"status", "show control VMs and entry VMs", (*run).status},
		{"unaccounted", "list requests without an end of ended sessions", (*run).unaccounted},
		{"verify", "check the hash chain of every audit log", (*run).verify},
	}
}

type subcommand struct {
	name, summary string
	run           func(*run, context.Context) error
}

// run is one run of one subcommand.
type run struct {
	Env
	options
	flags *flag.FlagSet
	args  []string
}

// usageError is a mistake in the command line.
type usageError struct{ error }

func usage(format string, args ...any) error {
	return usageError{fmt.Errorf(format, args...)}
}

// Main runs damaskctl with its arguments, without the program's name, and
// gives the exit code.
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
		return exit(env, checkOptions(args[1:], env))
	}
	all := commands()
	i := slices.IndexFunc(all, func(c subcommand) bool { return c.name == args[0] })
	if i < 0 {
		fmt.Fprintf(env.Stderr, "damaskctl: subcommand %q is not known; 'damaskctl help' lists them\n", args[0])
		return ExitUsage
	}
	r := newRun(args[0], args[1:], env)
	err := all[i].run(r, ctx)
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	return exit(env, err)
}

func newRun(name string, args []string, env Env) *run {
	r := &run{Env: env, args: args, flags: flag.NewFlagSet("damaskctl "+name, flag.ContinueOnError)}
	r.flags.SetOutput(env.Stderr)
	r.register(r.flags, env)
	return r
}

// parse reads the flags and checks the number of other arguments.
func (r *run) parse(least, most int) error {
	if err := r.flags.Parse(r.args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return usageError{err}
	}
	r.args = r.flags.Args()
	if len(r.args) < least || len(r.args) > most {
		return usage("%s takes %d to %d arguments after its flags, %d are given", r.flags.Name(), least, most, len(r.args))
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

// exit reports err and gives the exit code.
func exit(env Env, err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(env.Stderr, "damaskctl: %v\n", err)
	var u usageError
	if errors.As(err, &u) {
		return ExitUsage
	}
	p, ok := problem.As(err)
	if !ok {
		return ExitFailed
	}
	switch p.Reason {
	case problem.VersionConflict:
		printWinner(env.Stderr, p)
		return ExitConflict
	case problem.InvalidSettings:
		return ExitInvalid
	}
	return ExitFailed
}

// printWinner shows the change that won.
func printWinner(w io.Writer, p *problem.Problem) {
	if len(p.Winner) == 0 {
		return
	}
	var pretty any
	if err := json.Unmarshal(p.Winner, &pretty); err != nil {
		return
	}
	b, err := json.MarshalIndent(pretty, "  ", "  ")
	if err != nil {
		return
	}
	fmt.Fprintf(w, "winning change:\n  %s\n", b)
}

// options are the flags of all subcommands.
type options struct {
	control   string
	token     string
	tokenFile string
	identity  string
	json      bool
	timeout   time.Duration
}

const defaultTimeout = 30 * time.Second

func (o *options) register(f *flag.FlagSet, env Env) {
	f.StringVar(&o.control, "control", env.Getenv("DAMASK_CONTROL"), "control VMs' admin `URLs`, nearest first, separated by commas")
	f.StringVar(&o.tokenFile, "token-file", env.Getenv("DAMASK_TOKEN_FILE"), "`file` with the operator's token")
	f.StringVar(&o.identity, "identity", env.Getenv("DAMASK_IDENTITY"), "`folder` with the operator's certificate, for https addresses")
	f.BoolVar(&o.json, "json", false, "print JSON")
	f.DurationVar(&o.timeout, "timeout", defaultTimeout, "time for the whole call")
	o.token = env.Getenv("DAMASK_TOKEN")
}

func (o *options) addrs() []string {
	var addrs []string
	for _, a := range strings.Split(o.control, ",") {
		if a = strings.TrimSpace(a); a != "" {
			addrs = append(addrs, a)
		}
	}
	return addrs
}
