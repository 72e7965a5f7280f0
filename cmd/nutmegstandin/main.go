// Command nutmegstandin simulates model engines, plain services, the platform's target
// list and weight stores for tests and demonstrations, all in one process. It runs until
// SIGTERM or SIGINT.
//
// Exit codes: 0 stopped by a signal, 1 failed to start, 2 wrong usage or invalid file.
package main

import (
	"flag"
	"fmt"
	_ "net" // links the C library's resolver
	"os"
	"os/signal"
	"syscall"

	"nutmegrouter/internal/standin"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() { os.Exit(run(os.Args[1:])) }

// run starts the stand-ins, waits for a signal and returns the exit code.
func run(args []string) int {
	specs, err := parseSpecs(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	host, err := standin.Start(specs)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	defer host.Close()
	fmt.Printf("serving %d stand-ins\n", len(specs))
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	return 0
}

// parseSpecs returns the stand-ins listed in -file. Without a file it returns as many of
// each kind as the flags say, on consecutive ports from -port on.
func parseSpecs(args []string) ([]standin.Spec, error) {
	flags := flag.NewFlagSet("nutmegstandin", flag.ContinueOnError)
	file := flags.String("file", "", "JSON `file` that lists the stand-ins")
	ip := flags.String("ip", "127.0.0.1", "`address` to listen on")
	port := flags.Int("port", 21000, "first `port`")
	counts := map[standin.Kind]*int{
		standin.KindEngine:   flags.Int("engines", 0, "`number` of model engines"),
		standin.KindService:  flags.Int("services", 0, "`number` of plain services"),
		standin.KindPlatform: flags.Int("platforms", 0, "`number` of platforms that list targets"),
		standin.KindWeights:  flags.Int("weights", 0, "`number` of weight stores"),
	}
	warm := flags.Int("warm", 0, "warm capacity in concurrent `requests`")
	cold := flags.Int("cold", 0, "cold capacity in concurrent `requests`")
	pace := flags.Int("pace", 0, "time to generate one token in `µs`")
	if err := flags.Parse(args); err != nil {
		return nil, err
	}
	if *file != "" {
		return standin.LoadFile(*file)
	}
	var specs []standin.Spec
	for _, kind := range []standin.Kind{standin.KindEngine, standin.KindService, standin.KindPlatform, standin.KindWeights} {
		for i := range *counts[kind] {
			specs = append(specs, standin.Spec{
				Name: fmt.Sprintf("%s-%d", kind, i+1), Kind: kind, Listen: fmt.Sprintf("%s:%d", *ip, *port+len(specs)),
				WarmCapacity: *warm, ColdCapacity: *cold, PaceUs: *pace,
			})
		}
	}
	if len(specs) == 0 {
		return nil, fmt.Errorf("no stand-ins: set -file, -engines, -services, -platforms or -weights")
	}
	return specs, nil
}
