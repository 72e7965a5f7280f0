package kernel

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/settings"
)

type loaded struct {
	name   string
	plugin Plugin
}

// Run loads all registered plug-ins and runs them until a duty fails, the
// context ends, or stop delivers a signal. The first signal starts a planned
// stop, a second one ends the process at once.
func Run(ctx context.Context, s *settings.Settings, log *slog.Logger, stop <-chan os.Signal) error {
	c := NewContext(s, log, NewClock())
	plugins, err := provision(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := NewDuties(ctx)
	if err := start(plugins, d); err != nil {
		cancel()
		_ = d.Wait() // the failed start is the cause to report
		return joinCleanup(plugins, err)
	}
	log.Info("started", "step", "start", "data_centre", s.DataCentre)
	c.Events.Record(Event{Kind: "instance", Step: "start"})
	d.Go("signals", func(ctx context.Context) error {
		waitStop(ctx, c, plugins, stop)
		cancel()
		return nil
	})
	return joinCleanup(plugins, d.Wait())
}

func provision(c *Context) ([]loaded, error) {
	var out []loaded
	for _, r := range Registered() {
		if !r.wanted(c.Settings) {
			continue
		}
		p := r.New()
		if err := p.Provision(c); err != nil {
			return nil, errors.WithMessage(err, "provision "+r.Name)
		}
		out = append(out, loaded{r.Name, p})
	}
	for _, l := range out {
		if v, ok := l.plugin.(Validator); ok {
			if err := v.Validate(); err != nil {
				return nil, errors.WithMessage(err, "validate "+l.name)
			}
		}
	}
	return out, nil
}

func start(plugins []loaded, d *Duties) error {
	for _, l := range plugins {
		if s, ok := l.plugin.(Starter); ok {
			if err := s.Start(d); err != nil {
				return errors.WithMessage(err, "start "+l.name)
			}
		}
	}
	return nil
}

// waitStop drains the plug-ins in reverse order, entry first, so that callers
// are served by everything below while requests are still under way.
func waitStop(ctx context.Context, c *Context, plugins []loaded, stop <-chan os.Signal) {
	select {
	case <-ctx.Done():
		return
	case sig := <-stop:
		c.Log.Info("stopping", "step", "drain", "signal", sig.String())
		c.Events.Record(Event{Kind: "instance", Step: "drain"})
	}
	drain, cancel := context.WithTimeout(ctx, c.Settings.StopLimit())
	defer cancel()
	go func() {
		select {
		case <-stop:
			cancel()
		case <-drain.Done():
		}
	}()
	begin := time.Now()
	for i := len(plugins) - 1; i >= 0; i-- {
		dr, ok := plugins[i].plugin.(Drainer)
		if !ok {
			continue
		}
		if err := dr.Drain(drain); err != nil {
			c.Log.Warn("drain ended early", "step", "drain", "plugin", plugins[i].name, "error", err)
		}
	}
	c.Log.Info("drained", "step", "drain", "took", time.Since(begin).Round(time.Millisecond).String())
}

func joinCleanup(plugins []loaded, err error) error {
	for i := len(plugins) - 1; i >= 0; i-- {
		cl, ok := plugins[i].plugin.(Cleaner)
		if !ok {
			continue
		}
		if cerr := cl.Cleanup(); cerr != nil && err == nil {
			err = errors.WithMessage(cerr, "clean up "+plugins[i].name)
		}
	}
	return err
}
