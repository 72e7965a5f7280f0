// Command nutmegsoak is a randomised fault-injection test: it runs a fleet of real
// processes under load, injects faults that the seed determines, and reports violated
// guarantees.
//
// Exit codes: 0 no violation, 1 a seed failed, 2 wrong usage.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"nutmegrouter/internal/soak"
)

func main() { os.Exit(run(os.Args[1:])) }

// run executes the seeds given by args and returns the exit code.
func run(args []string) int {
	flags := flag.NewFlagSet("nutmegsoak", flag.ContinueOnError)
	o := soak.Options{}
	seeds := flags.Int("seeds", 1, "number of consecutive seeds, starting with -seed")
	flags.Uint64Var(&o.Seed, "seed", uint64(time.Now().Unix()), "first seed")
	flags.StringVar(&o.Binary, "daemon", "bin/nutmegd", "path of the nutmegd binary")
	flags.StringVar(&o.Dir, "dir", "", "folder for settings, data and logs; empty = a temporary one, deleted after a seed without findings")
	flags.IntVar(&o.Controls, "controls", 5, "control instances")
	flags.IntVar(&o.Entries, "entries", 4, "entry instances")
	flags.IntVar(&o.Engines, "engines", 6, "model engines")
	flags.IntVar(&o.Plain, "plain", 3, "plain services")
	flags.IntVar(&o.Losses, "losses", 2, "number of control instances that may fail at the same time")
	flags.IntVar(&o.Network, "network", 20, "second byte of the loopback addresses, so that runs do not collide")
	flags.Float64Var(&o.RequestsPerS, "rate", 60, "requests a second")
	flags.IntVar(&o.TokensPerS, "tokens", 400_000, "tokens a second that the engines produce together")
	flags.DurationVar(&o.Duration, "for", 20*time.Second, "duration of the fault phase")
	flags.BoolVar(&o.Quiet, "quiet", false, "inject no faults")
	faults := flags.String("faults", "", "names of the faults to inject, separated by commas; empty = all")
	verbose := flags.Bool("v", false, "log each injected fault")
	if err := flags.Parse(args); err != nil {
		return 2
	}
	if *faults != "" {
		o.Faults = strings.Split(*faults, ",")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	failed := 0
	for range *seeds {
		if !runSeed(ctx, o, *verbose) {
			failed++
		}
		o.Seed++
		if ctx.Err() != nil {
			break
		}
	}
	if failed > 0 {
		fmt.Printf("%d seeds with findings\n", failed)
		return 1
	}
	return 0
}

// runSeed runs one seed and reports whether it ended without an error or a violation.
func runSeed(ctx context.Context, o soak.Options, verbose bool) bool {
	temporary := o.Dir == ""
	if temporary {
		dir, err := os.MkdirTemp("", "nutmegsoak-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return false
		}
		o.Dir = dir
	} else {
		o.Dir = filepath.Join(o.Dir, fmt.Sprint(o.Seed))
		if err := os.MkdirAll(o.Dir, 0o755); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return false
		}
	}
	o.Log = func(string, ...any) {}
	if verbose {
		o.Log = func(format string, args ...any) {
			fmt.Printf("%s "+format+"\n", append([]any{time.Now().Format("15:04:05.000")}, args...)...)
		}
	}
	if err := o.Validate(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	r, err := soak.Run(ctx, o)
	if err != nil {
		fmt.Printf("seed %d: %v (logs in %s)\n", o.Seed, err, o.Dir)
		return false
	}
	fmt.Print(r)
	if len(r.Violations) > 0 {
		fmt.Printf("  faults: %v\n  logs in %s\n", r.Faults, o.Dir)
		return false
	}
	if temporary {
		if err := os.RemoveAll(o.Dir); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
	return true
}
