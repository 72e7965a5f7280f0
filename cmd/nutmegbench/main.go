// Command nutmegbench runs a demonstration or the benchmark of a fleet on this machine.
// It starts the fleet's processes from the binaries in the folder -bin.
//
// Exit codes: 0 done without violations, 1 a response was lost, doubled, wrong or
// falsely refused, or a bound was exceeded, 2 wrong usage, 3 the fleet could not be run.
package main

import (
	"context"
	"flag"
	"fmt"
	_ "net" // links the C library's resolver
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitOK        = 0
	exitViolation = 1
	exitUsage     = 2
	exitFleet     = 3
)

// options are the flags that all commands share.
type options struct {
	bin  string
	dir  string
	seed uint64
	// short shortens the benchmark's phases, to test the program itself.
	short  bool
	out    string // file for the tables; "" = none
	only   string // run only phases whose title contains this
	commit string
}

func main() { os.Exit(run(os.Args[1:])) }

// run executes the command in args and returns the exit code.
func run(args []string) int {
	var o options
	flags := flag.NewFlagSet("nutmegbench", flag.ContinueOnError)
	flags.StringVar(&o.bin, "bin", "bin", "`folder` of the fleet's binaries")
	flags.StringVar(&o.dir, "dir", "run", "`folder` for settings, logs and data")
	flags.Uint64Var(&o.seed, "seed", 1, "seed of the load")
	flags.BoolVar(&o.short, "short", false, "shorten the phases to test the program; the figures are not meaningful")
	flags.StringVar(&o.out, "out", "", "bench: `file` for the tables")
	flags.StringVar(&o.commit, "commit", "unknown", "bench: `commit` to print in the tables")
	flags.StringVar(&o.only, "only", "", "bench: run only the phases whose title contains this `text`")
	flags.Usage = func() {
		fmt.Fprintln(flags.Output(), "usage: nutmegbench [flags] demo|bench")
		flags.PrintDefaults()
	}
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	switch flags.Arg(0) {
	case "demo":
		return demo(ctx, o)
	case "bench":
		return bench(ctx, o)
	}
	flags.Usage()
	return exitUsage
}
