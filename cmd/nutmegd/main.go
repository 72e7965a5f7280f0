// Command nutmegd is the router daemon that runs on every instance of a fleet. It
// accepts requests and places them on model engines and plain services, and on
// instances with a disk it replicates the control log.
//
// SIGTERM and SIGINT start a planned stop, a second such signal stops without
// draining further, and SIGHUP reads the settings file again.
//
// Exit codes: 0 stopped as planned, 1 failed, 2 wrong usage or invalid settings.
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

// settingsEnv is the environment variable that holds the path of the settings file if
// -settings is not given.
const settingsEnv = "NUTMEGROUTER_SETTINGS"

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	flags := flag.NewFlagSet("nutmegd", flag.ContinueOnError)
	path := flags.String("settings", os.Getenv(settingsEnv), "settings `file` of this instance (JSON with comments)")
	check := flags.Bool("check", false, "validate the settings, print every error, and exit")
	if err := flags.Parse(args); err != nil {
		return exitSettings
	}
	if *path == "" || flags.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "usage: nutmegd -settings FILE [-check]")
		return exitSettings
	}
	s, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if *check {
		fmt.Printf("%s: ok, instance %s in data centre %s\n", *path, s.Instance, s.DataCentre)
		return exitOK
	}
	return serve(s, func() (*settings.Settings, error) { return settings.Load(*path) })
}

// memoryLimitRatio is the Go runtime's memory limit as a fraction of routes.memoryMB in
// the settings. The rest is for memory that the runtime does not count, such as bytes in
// socket buffers.
const memoryLimitRatio = 0.75

// gcPercent is the value of GOGC: the growth of the heap, in percent of the live heap,
// that starts a garbage collection. At the default of 100 the collector takes 15% of
// the time of BenchmarkRefused. Near the memory limit it runs earlier in any case.
const gcPercent = 300

// serve runs the plug-ins until the process is stopped and returns its exit code.
// load reads the settings again for a reload. Queued log lines are written before
// serve returns.
func serve(s *settings.Settings, load func() (*settings.Settings, error)) int {
	set := metrics.NewSet()
	queue := logqueue.New(os.Stdout, set)
	log := slog.New(queue.Handler(slog.LevelInfo)).With("instance", s.Instance)
	logCtx, stopLog := context.WithCancel(context.Background())
	logDone := make(chan struct{})
	go func() { queue.Run(logCtx); close(logDone) }()
	defer func() { stopLog(); <-logDone }()
	if s.IsRoutes() {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(memoryLimitRatio * s.Routes.MemoryMB * (1 << 20)))
	}
	stop := make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	if err := kernel.Run(context.Background(), s, kernel.Host{Log: log, Metrics: set, StopSignals: stop, ReloadSignals: reload, LoadSettings: load}); err != nil {
		log.Error("ended", "step", "run", "error", err)
		return exitFailure
	}
	return exitOK
}
