package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Report is the result of one run.
type Report struct {
	Seed             uint64
	Faults           []string // names of the faults, in the order in which they started
	Served, Attempts int      // requests with a complete 200 response, and all, without disconnected callers
	AfterServed      int      // the part of Served sent after the faults and the recovery time
	AfterAttempts    int      // the part of Attempts sent after the faults and the recovery time
	Violations       []string // violations of the fleet's guarantees, one line each
}

// String returns a line with the counts and one line for each violation.
func (r *Report) String() string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "seed %d: %d of %d served, after the faults %d of %d, %d violations\n", r.Seed, r.Served, r.Attempts, r.AfterServed, r.AfterAttempts, len(r.Violations))
	for _, f := range r.Violations {
		fmt.Fprintf(&b, "  %s\n", f)
	}
	return b.String()
}

const (
	// recoveryTime is the time that the fleet has after the last fault before requests
	// must be served again.
	recoveryTime = 5 * time.Second
	// loadAfterRecovery is how long the load continues after the recovery time.
	loadAfterRecovery = 4 * time.Second
)

// Run starts a fleet, runs the load and the faults of one seed for o.Duration, lets the
// fleet recover, and returns the violations in the report. It fails if the fleet does
// not start. If ctx ends during the run, it returns the report together with ctx's
// error. The processes are killed before it returns.
func Run(ctx context.Context, o Options) (*Report, error) {
	h, err := newHarness(o)
	if err != nil {
		return nil, err
	}
	defer h.close()
	if err := h.startFleet(ctx); err != nil {
		return nil, err
	}
	h.acceptedVersion = h.config.Version
	generator := newLoadGenerator(h)
	h.load = generator
	loadCtx, stopLoad := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { generator.run(loadCtx) })
	report := &Report{Seed: o.Seed}
	if o.Quiet {
		sleep(ctx, o.Duration)
	} else {
		report.Faults = h.injectFaults(ctx)
	}
	faultsEnded := time.Now()
	sleep(ctx, recoveryTime+loadAfterRecovery)
	stopLoad()
	wg.Wait()
	requests := generator.recorded()
	report.Violations = append(h.findViolations(ctx, requests), h.checkConfig(ctx)...)
	report.Served, report.Attempts = countServed(requests, time.Time{}, time.Now())
	report.AfterServed, report.AfterAttempts = countServed(requests, faultsEnded.Add(recoveryTime), time.Now())
	if report.AfterServed*2 < report.AfterAttempts {
		report.Violations = append(report.Violations, fmt.Sprintf("after the faults only %d of %d requests were served, want at least half", report.AfterServed, report.AfterAttempts))
	}
	return report, ctx.Err()
}

// injectFaults injects random faults in two concurrent series for the duration of the
// run, and returns their names in the order in which they started. A fault that takes
// down control instances starts only if no other such fault is active or if at most
// opt.Losses control instances are then down.
func (h *harness) injectFaults(ctx context.Context) []string {
	ctx, cancel := context.WithTimeout(ctx, h.opt.Duration)
	defer cancel()
	var mu sync.Mutex
	var started []string
	controlsDown := 0
	allFaults, _ := faultsNamed(h.opt.Faults) // Validate has checked the names
	var wg sync.WaitGroup
	for series := range 2 {
		rng := rand.New(rand.NewPCG(h.opt.Seed, uint64(10+series)))
		wg.Go(func() {
			for ctx.Err() == nil {
				f := pick(allFaults, rng)
				mu.Lock()
				if f.controlsLost > 0 && controlsDown > 0 && controlsDown+f.controlsLost > h.opt.Losses {
					mu.Unlock()
					randomPause(ctx, rng, 0.2)
					continue
				}
				controlsDown += f.controlsLost
				started = append(started, f.name)
				mu.Unlock()
				h.opt.Log("fault %s started", f.name)
				f.inject(ctx, h, rng)
				h.opt.Log("fault %s ended", f.name)
				randomPause(ctx, rng, 1)
				mu.Lock()
				controlsDown -= f.controlsLost
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return started
}

// checkConfig reads the configuration back and checks that it is the one accepted last.
// It skips the comparison if the last configuration sent was not confirmed as accepted.
func (h *harness) checkConfig(ctx context.Context) []string {
	var current []byte
	err := h.waitFor(ctx, "configuration read back", func() bool {
		for _, inst := range h.controlInstances() {
			status, doc, err := h.operator.Read(ctx, inst.address(operatorPort))
			if err == nil && status == http.StatusOK {
				current = doc
				return true
			}
		}
		return false
	})
	if err != nil {
		return []string{err.Error()}
	}
	if h.acceptedVersion == h.config.Version && !bytes.Equal(current, h.config.Document()) {
		return []string{fmt.Sprintf("the configuration read back differs from the accepted version %d", h.acceptedVersion)}
	}
	return nil
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Validate returns an error if the fleet would lack a control instance, an entry
// instance or a target of either service, if Binary or Dir is empty, or if a fault is unknown.
func (o *Options) Validate() error {
	if o.Controls < 1 || o.Entries < 1 || o.Engines < 1 || o.Plain < 1 {
		return errors.New("at least one control instance, entry instance, engine and plain service is needed")
	}
	if o.Binary == "" || o.Dir == "" {
		return errors.New("the path of the daemon and the folder must be set")
	}
	_, err := faultsNamed(o.Faults)
	return err
}
