package kernel

import (
	"context"
	"log/slog"
	"os"
	"reflect"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"nutmegrouter/internal/logqueue"
	"nutmegrouter/internal/settings"
)

// Host is what the process gives the kernel.
type Host struct {
	Log *slog.Logger
	// Metrics holds counters that exist before the kernel; nil = none.
	Metrics *metrics.Set
	// Stop starts a planned stop; a second signal ends the process at once.
	Stop <-chan os.Signal
	// Reload has the settings read again; nil = never.
	Reload <-chan os.Signal
	// Load reads the settings; nil = they never change.
	Load func() (*settings.Settings, error)
}

type loaded struct {
	name   string
	plugin Plugin
}

// Run loads all registered plug-ins and runs them until a duty fails, the
// context ends, or a signal asks for a stop.
func Run(ctx context.Context, s *settings.Settings, host Host) error {
	c := NewContext(s, host.Log, NewClock())
	if host.Metrics != nil {
		c.Metrics = host.Metrics
	}
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
	logqueue.Notice(c.Log, "started", "step", "start", "data_centre", s.DataCentre, "profile", s.Profile, "mesh", s.Mesh)
	c.Events.Record(Event{Kind: "instance", Step: "start"})
	d.Go("signals", func(ctx context.Context) error {
		waitStop(ctx, c, plugins, host.Stop)
		cancel()
		return nil
	})
	if host.Load != nil {
		d.Go("settings", func(ctx context.Context) error {
			followSettings(ctx, c, plugins, host)
			return ctx.Err()
		})
	}
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

// settingsInterval is how often the settings are read without a signal: the file
// may change without one.
const settingsInterval = 2 * time.Second

// followSettings hands changed settings to the plug-ins. Settings with faults
// leave the former ones in force.
func followSettings(ctx context.Context, c *Context, plugins []loaded, host Host) {
	t := time.NewTicker(settingsInterval)
	defer t.Stop()
	current := c.Settings
	for {
		why := "poll"
		select {
		case <-ctx.Done():
			return
		case sig := <-host.Reload:
			why = sig.String()
		case <-t.C:
		}
		s, err := host.Load()
		if err != nil {
			c.Log.Error("settings not reloaded", "step", "reload", "why", why, "error", err)
			continue
		}
		if reflect.DeepEqual(s, current) {
			if why != "poll" {
				logqueue.Notice(c.Log, "settings unchanged", "step", "reload", "why", why)
			}
			continue
		}
		current = s
		logqueue.Notice(c.Log, "settings reloaded", "step", "reload", "why", why)
		for _, l := range plugins {
			if r, ok := l.plugin.(Reloader); ok {
				r.Reload(s)
			}
		}
	}
}

// waitStop drains the plug-ins in reverse order, entry first, so that callers
// are served by everything below while requests are still under way.
func waitStop(ctx context.Context, c *Context, plugins []loaded, stop <-chan os.Signal) {
	select {
	case <-ctx.Done():
		return
	case sig := <-stop:
		logqueue.Notice(c.Log, "stopping", "step", "drain", "signal", sig.String())
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
	logqueue.Notice(c.Log, "drained", "step", "drain", "took", time.Since(begin).Round(time.Millisecond).String())
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
