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

// Report is the outcome of a run.
type Report struct {
	Seed             uint64
	Played           []string // faults, in the order of their beginning
	Served, Attempts int      // of callers that stayed
	AfterServed      int      // after the last fault
	AfterAttempts    int
	Found            []string // broken promises
}

// String returns the report in a few lines.
func (r *Report) String() string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "seed %d: %d of %d served, after the faults %d of %d, %d promises broken\n", r.Seed, r.Served, r.Attempts, r.AfterServed, r.AfterAttempts, len(r.Found))
	for _, f := range r.Found {
		fmt.Fprintf(&b, "  %s\n", f)
	}
	return b.String()
}

const (
	// recovery is the time after the last fault from which requests must be served.
	recovery = 5 * time.Second
	// calm is how long the load goes on after the recovery.
	calm = 4 * time.Second
)

// Run plays one seed.
func Run(ctx context.Context, o Options) (*Report, error) {
	w, err := newWorld(o)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if err := w.up(ctx); err != nil {
		return nil, err
	}
	w.accepted = w.config.Version
	c := newCallers(w)
	load, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { c.play(load) })
	r := &Report{Seed: o.Seed}
	if o.Quiet {
		sleep(ctx, o.Duration)
	} else {
		r.Played = w.playFaults(ctx)
	}
	healed := time.Now()
	sleep(ctx, recovery+calm)
	stop()
	wg.Wait()
	attempts := c.all()
	r.Found = append(w.check(attempts), w.checkConfig(ctx)...)
	r.Served, r.Attempts = served(attempts, time.Time{}, time.Now())
	r.AfterServed, r.AfterAttempts = served(attempts, healed.Add(recovery), time.Now())
	if r.AfterServed*2 < r.AfterAttempts {
		r.Found = append(r.Found, fmt.Sprintf("after the faults %d of %d requests were served", r.AfterServed, r.AfterAttempts))
	}
	return r, ctx.Err()
}

// playFaults plays faults in two series beside each other, so that they overlap.
// No more control instances are lost at once than the fleet must bear.
func (w *world) playFaults(ctx context.Context) []string {
	ctx, cancel := context.WithTimeout(ctx, w.opt.Duration)
	defer cancel()
	var mu sync.Mutex
	var played []string
	lost := 0
	kinds := faults()
	var wg sync.WaitGroup
	for series := range 2 {
		rng := rand.New(rand.NewPCG(w.opt.Seed, uint64(10+series)))
		wg.Go(func() {
			for ctx.Err() == nil {
				f := pick(kinds, rng)
				mu.Lock()
				if f.lost > 0 && lost > 0 && lost+f.lost > w.opt.Losses {
					mu.Unlock()
					pause(ctx, rng, 0.2)
					continue
				}
				lost += f.lost
				played = append(played, f.name)
				mu.Unlock()
				w.opt.Log("%s begins", f.name)
				f.play(ctx, w, rng)
				w.opt.Log("%s ended", f.name)
				pause(ctx, rng, 1)
				mu.Lock()
				lost -= f.lost
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return played
}

// checkConfig reads the configuration back, which must be the newest accepted one.
func (w *world) checkConfig(ctx context.Context) []string {
	var newest []byte
	err := w.await(ctx, "configuration read back", func() bool {
		for _, n := range w.controls() {
			status, raw, err := w.operator.Read(ctx, n.address(operatorPort))
			if err == nil && status == http.StatusOK {
				newest = raw
				return true
			}
		}
		return false
	})
	if err != nil {
		return []string{err.Error()}
	}
	if w.accepted == w.config.Version && !bytes.Equal(newest, w.config.Document()) {
		return []string{fmt.Sprintf("the configuration read back is not version %d, which was accepted", w.accepted)}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Validate reports options that a run cannot use.
func (o *Options) Validate() error {
	if o.Controls < 1 || o.Entries < 1 || o.Engines < 1 || o.Plain < 1 {
		return errors.New("want at least one control and entry instance and one target of each service")
	}
	if o.Binary == "" || o.Dir == "" {
		return errors.New("want the daemon's path and a folder")
	}
	return nil
}
