package kernel

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Duties starts the goroutines of plug-ins under one errgroup.
type Duties struct {
	ctx   context.Context
	group *errgroup.Group
}

// NewDuties returns duties that end when the parent context ends or one fails.
func NewDuties(parent context.Context) *Duties {
	g, ctx := errgroup.WithContext(parent)
	return &Duties{ctx: ctx, group: g}
}

// Context ends when the duties must end.
func (d *Duties) Context() context.Context { return d.ctx }

// Go runs a duty. A returned error other than the context's ends all duties.
func (d *Duties) Go(name string, f func(ctx context.Context) error) {
	d.group.Go(func() error {
		err := f(d.ctx)
		if err == nil || (d.ctx.Err() != nil && errors.Is(err, d.ctx.Err())) {
			return nil
		}
		return errors.WithMessage(err, "duty "+name)
	})
}

// Every runs f at a fixed interval until the duties end.
func (d *Duties) Every(name string, interval time.Duration, f func(ctx context.Context)) {
	d.EveryOr(name, interval, nil, f)
}

// EveryOr runs f at a fixed interval, and at once when kick is signalled.
func (d *Duties) EveryOr(name string, interval time.Duration, kick <-chan struct{}, f func(ctx context.Context)) {
	d.Go(name, func(ctx context.Context) error {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-kick:
			case <-t.C:
			}
			f(ctx)
		}
	})
}

// Serve runs a server on a listener, which closes when the duties end.
func (d *Duties) Serve(name string, ln net.Listener, serve func(net.Listener) error) {
	d.Go(name, func(context.Context) error { return serve(ln) })
	d.Go(name+" stop", func(ctx context.Context) error {
		<-ctx.Done()
		return ln.Close()
	})
}

// Wait returns the first error after all duties have ended.
func (d *Duties) Wait() error { return d.group.Wait() }
