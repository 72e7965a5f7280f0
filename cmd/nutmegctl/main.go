// Command nutmegctl is the operators' command-line tool.
//
// Exit codes: 0 done, 1 failed, 2 wrong usage or invalid input, 3 refused
// because another change won, 4 outcome unknown or not reached in time.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/adminapi"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailure  = 1
	exitUsage    = 2
	exitConflict = 3
	exitUnknown  = 4
)

const defaultTimeout = 30 * time.Second

// command is one subcommand.
type command struct {
	name  string
	args  string // shown in the usage
	short string
	run   func(*tool, []string) error
}

func commands() []command {
	return []command{
		{"apply", "[-dry-run] [-base N] FILE", "submit a configuration (FILE - reads standard input)", (*tool).apply},
		{"check", "FILE", "check a configuration without an instance", (*tool).check},
		{"show", "", "print the configuration in force", (*tool).show},
		{"history", "[-limit N]", "list accepted changes, newest first", (*tool).history},
		{"status", "", "show every instance, the pools' owners and the control log", (*tool).status},
		{"wait", "[REVISION]", "wait until a revision is in force everywhere", (*tool).wait},
		{"out", "DATA-CENTRE", "take a data centre out of service", (*tool).takeOut},
		{"back", "DATA-CENTRE", "bring a data centre back into service", (*tool).bringBack},
		{"explain", "[-json] REQUEST [LOG...]", "tell the story of a request from log files, or from standard input", (*tool).explain},
		{"timeline", "[-since D] [-kind K] [-workspace W] [-target T] [-request R]", "print the merged events of all instances", (*tool).timeline},
	}
}

// tool holds the flags that all commands share.
type tool struct {
	client   *adminapi.Client
	timeout  time.Duration
	json     bool
	changeID string
	author   string
	noWait   bool
	out      io.Writer
	errOut   io.Writer
	in       io.Reader
}

// exitError is an error with an exit code of its own.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func usageError(format string, args ...any) error {
	return &exitError{exitUsage, errors.Errorf(format, args...)}
}

func main() { os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }

func run(args []string, in io.Reader, out, errOut io.Writer) int {
	t := &tool{in: in, out: out, errOut: errOut}
	flags := flag.NewFlagSet("nutmegctl", flag.ContinueOnError)
	flags.SetOutput(errOut)
	admin := flags.String("admin", os.Getenv("NUTMEG_ADMIN"), "operators' `addresses` of instances, IP:port, separated by commas (or NUTMEG_ADMIN)")
	flags.DurationVar(&t.timeout, "timeout", defaultTimeout, "bound on the whole command")
	flags.BoolVar(&t.json, "json", false, "print JSON")
	flags.StringVar(&t.changeID, "change-id", "", "id of the change; reuse it to resend a change whose answer was lost")
	flags.StringVar(&t.author, "author", os.Getenv("USER"), "name shown in the history")
	flags.BoolVar(&t.noWait, "no-wait", false, "return once a change is accepted, before it is in force everywhere")
	flags.Usage = func() { usage(flags, errOut) }
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitUsage
	}
	if flags.NArg() == 0 {
		usage(flags, errOut)
		return exitUsage
	}
	t.client = &adminapi.Client{Addresses: splitAddresses(*admin)}
	return t.dispatch(flags.Arg(0), flags.Args()[1:])
}

func (t *tool) dispatch(name string, args []string) int {
	for _, c := range commands() {
		if c.name != name {
			continue
		}
		err := c.run(t, args)
		if err == nil || errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		fmt.Fprintf(t.errOut, "nutmegctl %s: %v\n", name, err)
		var ee *exitError
		if errors.As(err, &ee) {
			return ee.code
		}
		return exitFailure
	}
	fmt.Fprintf(t.errOut, "nutmegctl: unknown command %q; -help lists them\n", name)
	return exitUsage
}

func usage(flags *flag.FlagSet, w io.Writer) {
	fmt.Fprintln(w, "usage: nutmegctl [flags] COMMAND [arguments]")
	fmt.Fprintln(w, "\ncommands:")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-9s %s\n", c.name, c.short)
		if c.args != "" {
			fmt.Fprintf(w, "            %s %s\n", c.name, c.args)
		}
	}
	fmt.Fprintln(w, "\nflags:")
	flags.PrintDefaults()
	fmt.Fprintln(w, "\nexit codes: 0 done, 1 failed, 2 usage or invalid input, 3 another change won, 4 outcome unknown or not in time")
}

func splitAddresses(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' || r == ' ' })
}

// context bounds a command by -timeout.
func (t *tool) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), t.timeout)
}

// subflags parses the flags of one command and its number of arguments.
func (t *tool) subflags(name string, args []string, low, high int, define func(*flag.FlagSet)) ([]string, error) {
	fs := flag.NewFlagSet("nutmegctl "+name, flag.ContinueOnError)
	fs.SetOutput(t.errOut)
	if define != nil {
		define(fs)
	}
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return nil, err
		}
		return nil, &exitError{exitUsage, err}
	}
	if fs.NArg() < low || fs.NArg() > high {
		return nil, usageError("wrong number of arguments; -help shows the usage")
	}
	return fs.Args(), nil
}
