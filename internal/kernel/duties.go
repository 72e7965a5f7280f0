package kernel

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Duties runs the goroutines of plug-ins in one errgroup.
type Duties struct {
	ctx   context.Context
	group *errgroup.Group
}

// NewDuties returns an empty group. Its duties end when the parent context ends or
// one of them fails.
func NewDuties(parent context.Context) *Duties {
	g, ctx := errgroup.WithContext(parent)
	return &Duties{ctx: ctx, group: g}
}

// Context returns the context of the duties, which ends when they must return.
func (d *Duties) Context() context.Context { return d.ctx }

// Go runs f as a duty. An error of f other than the context's ends all duties.
func (d *Duties) Go(name string, f func(ctx context.Context) error) {
	d.group.Go(func() error {
		err := f(d.ctx)
		if err == nil || (d.ctx.Err() != nil && errors.Is(err, d.ctx.Err())) {
			return nil
		}
		return errors.WithMessage(err, "duty "+name)
	})
}

// Every runs f at a fixed interval, first after one interval, until the duties end.
func (d *Duties) Every(name string, interval time.Duration, f func(ctx context.Context)) {
	d.EveryOrOnSignal(name, interval, nil, f)
}

// EveryOrOnSignal runs f like Every and also when a value arrives on wake. The runs
// never overlap.
func (d *Duties) EveryOrOnSignal(name string, interval time.Duration, wake <-chan struct{}, f func(ctx context.Context)) {
	d.Go(name, func(ctx context.Context) error {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-wake:
			case <-t.C:
			}
			f(ctx)
		}
	})
}

// Serve runs a server on a listener, which it closes when the duties end. An error of
// serve ends all duties; serve must return nil after the listener was closed.
func (d *Duties) Serve(name string, ln net.Listener, serve func(net.Listener) error) {
	d.Go(name, func(context.Context) error { return serve(ln) })
	d.Go(name+" stop", func(ctx context.Context) error {
		<-ctx.Done()
		return ln.Close()
	})
}

// Wait blocks until all duties have ended and returns the first error.
func (d *Duties) Wait() error { return d.group.Wait() }
