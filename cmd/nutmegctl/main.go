// Command nutmegctl is the operators' command-line client of a fleet. It changes and
// shows the configuration, takes data centres out of service and back, and shows the
// state, events and logs of the instances. Its -help lists all commands.
//
// Exit codes: 0 done, 1 failed, 2 wrong usage or invalid input, 3 refused because
// another change was accepted first, 4 outcome unknown or deadline missed.
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

// command is a subcommand. run returns an *exitError if the exit code is not
// exitFailure.
type command struct {
	name    string
	args    string // arguments, as the usage text shows them
	summary string
	run     func(*tool, []string) error
}

func commands() []command {
	return []command{
		{"apply", "[-dry-run] [-base N] FILE", "submit a configuration (FILE - reads standard input)", (*tool).apply},
		{"check", "FILE", "validate a configuration offline", (*tool).check},
		{"show", "", "print the configuration in force", (*tool).show},
		{"history", "[-limit N]", "list accepted changes, newest first", (*tool).history},
		{"status", "", "show the state of every instance, the pools it owns and its control role", (*tool).status},
		{"wait", "[REVISION]", "wait until a revision is in force everywhere", (*tool).wait},
		{"out", "DATA-CENTRE", "take a data centre out of service", (*tool).takeOut},
		{"back", "DATA-CENTRE", "bring a data centre back into service", (*tool).bringBack},
		{"rollouts", "[SERVICE]", "show the newest rollout of each service; with the evidence if -admin names the control leader", (*tool).showRollouts},
		{"explain", "[-json] REQUEST [LOG...]", "show what happened to a request, from log files or standard input", (*tool).explain},
		{"losses", "[-json] [-by workspace|kind|time] [-interval D] [LOG...]", "count requests that were not served in time, by cause, from log files or standard input", (*tool).losses},
		{"timeline", "[-since D] [-kind K] [-workspace W] [-target T] [-request R]", "print the merged events of all instances", (*tool).timeline},
	}
}

// tool holds the global flags, the streams and the client that all commands share.
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

// exitError is an error that sets the exit code of the process.
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

// run executes the command in args and returns the exit code.
func run(args []string, in io.Reader, out, errOut io.Writer) int {
	t := &tool{in: in, out: out, errOut: errOut}
	flags := flag.NewFlagSet("nutmegctl", flag.ContinueOnError)
	flags.SetOutput(errOut)
	admin := flags.String("admin", os.Getenv("NUTMEG_ADMIN"), "operators' `addresses` of instances, IP:port, separated by commas (or NUTMEG_ADMIN)")
	flags.DurationVar(&t.timeout, "timeout", defaultTimeout, "`limit` on the time of the whole command")
	flags.BoolVar(&t.json, "json", false, "print JSON")
	flags.StringVar(&t.changeID, "change-id", "", "`id` of the change; give it again to resend a change whose response was lost")
	flags.StringVar(&t.author, "author", os.Getenv("USER"), "`name` shown in the history")
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

// dispatch runs the named command, prints its error and returns the exit code.
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
		var exit *exitError
		if errors.As(err, &exit) {
			return exit.code
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
		fmt.Fprintf(w, "  %-9s %s\n", c.name, c.summary)
		if c.args != "" {
			fmt.Fprintf(w, "            %s %s\n", c.name, c.args)
		}
	}
	fmt.Fprintln(w, "\nflags:")
	flags.PrintDefaults()
	fmt.Fprintln(w, "\nexit codes: 0 done, 1 failed, 2 wrong usage or invalid input, 3 another change was accepted first, 4 outcome unknown or deadline missed")
}

func splitAddresses(addresses string) []string {
	return strings.FieldsFunc(addresses, func(r rune) bool { return r == ',' || r == ' ' })
}

// context returns a context that expires after -timeout.
func (t *tool) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), t.timeout)
}

// subflags parses the flags and arguments of the named command and returns the
// arguments. A number of arguments outside of minArgs to maxArgs is a usage error.
// define adds the command's own flags; nil means none.
func (t *tool) subflags(name string, args []string, minArgs, maxArgs int, define func(*flag.FlagSet)) ([]string, error) {
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
	if fs.NArg() < minArgs || fs.NArg() > maxArgs {
		return nil, usageError("wrong number of arguments; -help shows the usage")
	}
	return fs.Args(), nil
}
