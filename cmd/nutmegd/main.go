// Command nutmegd is the daemon that runs on every instance of the fleet.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/VictoriaMetrics/metrics"

	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/logqueue"
	"nutmegrouter/internal/settings"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2
)

// settingsVariable names the environment variable that holds the path of the
// settings file if the flag is not given.
const settingsVariable = "NUTMEGROUTER_SETTINGS"

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	flags := flag.NewFlagSet("nutmegd", flag.ContinueOnError)
	file := flags.String("settings", os.Getenv(settingsVariable), "settings `file` of this instance (JSON with comments)")
	check := flags.Bool("check", false, "check the settings, report every error, and exit")
	if err := flags.Parse(args); err != nil {
		return exitSettings
	}
	if *file == "" || flags.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "usage: nutmegd -settings FILE [-check]")
		return exitSettings
	}
	s, err := settings.Load(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if *check {
		fmt.Printf("%s: ok, instance %s in data centre %s\n", *file, s.Instance, s.DataCentre)
		return exitOK
	}
	return serve(s, func() (*settings.Settings, error) { return settings.Load(*file) })
}

// memoryShare is the part of the memory that the runtime aims to stay below. The
// rest holds what it does not count: bytes that wait in sockets.
const memoryShare = 0.75

// collectAt is the growth of the heap, in percent of what is in use, after which the
// runtime collects garbage. At 100 the collector takes 15% of the time of
// BenchmarkRefused; near the memory limit it runs sooner in any case.
const collectAt = 300

func serve(s *settings.Settings, load func() (*settings.Settings, error)) int {
	set := metrics.NewSet()
	queue := logqueue.New(os.Stdout, set)
	log := slog.New(queue.Handler(slog.LevelInfo)).With("instance", s.Instance)
	writing, written := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { queue.Run(writing); close(ended) }()
	defer func() { written(); <-ended }()
	if s.Routed() {
		debug.SetGCPercent(collectAt)
		debug.SetMemoryLimit(int64(memoryShare * s.Routes.MemoryMB * (1 << 20)))
	}
	stop := make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	if err := kernel.Run(context.Background(), s, kernel.Host{Log: log, Metrics: set, Stop: stop, Reload: reload, Load: load}); err != nil {
		log.Error("ended", "step", "run", "error", err)
		return exitFailure
	}
	return exitOK
}
