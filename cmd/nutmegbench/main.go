// Command nutmegbench runs the demonstration and the benchmark of a fleet on
// this machine. It starts the programs built into its -bin folder.
//
// Exit codes: 0 done and clean, 1 a response was lost, doubled, wrong or falsely
// refused, or a bound was broken, 2 wrong usage, 3 the fleet could not be run.
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
	exitOK    = 0
	exitDirty = 1
	exitUsage = 2
	exitFleet = 3
)

// options are the flags that all commands share.
type options struct {
	bin  string
	dir  string
	seed uint64
	// short makes the benchmark's phases short, to try the program itself.
	short  bool
	out    string
	only   string // run only phases whose title contains this
	commit string
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var o options
	flags := flag.NewFlagSet("nutmegbench", flag.ContinueOnError)
	flags.StringVar(&o.bin, "bin", "bin", "`folder` of the programs")
	flags.StringVar(&o.dir, "dir", "run", "`folder` for settings, logs and data")
	flags.Uint64Var(&o.seed, "seed", 1, "seed of the load")
	flags.BoolVar(&o.short, "short", false, "short phases, to try the program; the figures mean nothing")
	flags.StringVar(&o.out, "out", "", "bench: `file` for the tables")
	flags.StringVar(&o.commit, "commit", "unknown", "bench: `commit` named in the tables")
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
