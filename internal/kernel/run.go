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

// Host holds the resources of the process that the kernel uses.
type Host struct {
	Log *slog.Logger
	// Metrics is the set to which the kernel and the plug-ins add their metrics;
	// nil = a new set.
	Metrics *metrics.Set
	// StopSignals delivers the signals for a planned stop. A second signal cancels
	// the drain, so that the process ends at once.
	StopSignals <-chan os.Signal
	// ReloadSignals delivers the signals to read the settings again; nil = none.
	ReloadSignals <-chan os.Signal
	// LoadSettings reads the settings; nil = the settings are never reloaded.
	LoadSettings func() (*settings.Settings, error)
}

// loadedPlugin is a provisioned plug-in with its registered name.
type loadedPlugin struct {
	name   string
	plugin Plugin
}

// Run provisions and starts the enabled plug-ins and runs them until a duty fails,
// the context ends, or a planned stop requested by a signal is complete. It returns
// the first error of the start, a duty or a Cleanup.
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
		return cleanUp(plugins, err)
	}
	logqueue.Notice(c.Log, "started", "step", "start", "data_centre", s.DataCentre, "profile", s.Profile, "mesh", s.Mesh)
	c.Events.Record(Event{Kind: "instance", Step: "start"})
	d.Go("signals", func(ctx context.Context) error {
		waitForStop(ctx, c, plugins, host.StopSignals)
		cancel()
		return nil
	})
	if host.LoadSettings != nil {
		d.Go("settings", func(ctx context.Context) error {
			followSettings(ctx, c, plugins, host)
			return ctx.Err()
		})
	}
	return cleanUp(plugins, d.Wait())
}

func provision(c *Context) ([]loadedPlugin, error) {
	var out []loadedPlugin
	for _, r := range Registered() {
		if !r.isEnabled(c.Settings) {
			continue
		}
		p := r.New()
		if err := p.Provision(c); err != nil {
			return nil, errors.WithMessage(err, "provision "+r.Name)
		}
		out = append(out, loadedPlugin{r.Name, p})
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

func start(plugins []loadedPlugin, d *Duties) error {
	for _, l := range plugins {
		if s, ok := l.plugin.(Starter); ok {
			if err := s.Start(d); err != nil {
				return errors.WithMessage(err, "start "+l.name)
			}
		}
	}
	return nil
}

// settingsInterval is the polling interval of the settings file, which may change
// without a signal.
const settingsInterval = 2 * time.Second

// followSettings reloads the settings at each signal and interval and passes
// changed ones to the plug-ins. After an error the previous settings stay in force.
func followSettings(ctx context.Context, c *Context, plugins []loadedPlugin, host Host) {
	t := time.NewTicker(settingsInterval)
	defer t.Stop()
	current := c.Settings
	for {
		trigger := "poll"
		select {
		case <-ctx.Done():
			return
		case sig := <-host.ReloadSignals:
			trigger = sig.String()
		case <-t.C:
		}
		s, err := host.LoadSettings()
		if err != nil {
			c.Log.Error("settings not reloaded", "step", "reload", "why", trigger, "error", err)
			continue
		}
		if reflect.DeepEqual(s, current) {
			if trigger != "poll" {
				logqueue.Notice(c.Log, "settings unchanged", "step", "reload", "why", trigger)
			}
			continue
		}
		current = s
		logqueue.Notice(c.Log, "settings reloaded", "step", "reload", "why", trigger)
		for _, l := range plugins {
			if r, ok := l.plugin.(Reloader); ok {
				r.Reload(s)
			}
		}
	}
}

// waitForStop waits for the stop signal and then drains the plug-ins. It does so in
// reverse order, entry first, because the requests in progress need the plug-ins
// that come earlier in the order.
func waitForStop(ctx context.Context, c *Context, plugins []loadedPlugin, stop <-chan os.Signal) {
	select {
	case <-ctx.Done():
		return
	case sig := <-stop:
		logqueue.Notice(c.Log, "stopping", "step", "drain", "signal", sig.String())
		c.Events.Record(Event{Kind: "instance", Step: "drain"})
	}
	drainCtx, cancel := context.WithTimeout(ctx, c.Settings.StopLimit())
	defer cancel()
	go func() {
		select {
		case <-stop:
			cancel()
		case <-drainCtx.Done():
		}
	}()
	begin := time.Now()
	for i := len(plugins) - 1; i >= 0; i-- {
		drainer, ok := plugins[i].plugin.(Drainer)
		if !ok {
			continue
		}
		if err := drainer.Drain(drainCtx); err != nil {
			c.Log.Warn("drain ended early", "step", "drain", "plugin", plugins[i].name, "error", err)
		}
	}
	logqueue.Notice(c.Log, "drained", "step", "drain", "took", time.Since(begin).Round(time.Millisecond).String())
}

// cleanUp calls Cleanup on all plug-ins in reverse order. It returns err or, if
// that is nil, the first error of a Cleanup.
func cleanUp(plugins []loadedPlugin, err error) error {
	for i := len(plugins) - 1; i >= 0; i-- {
		cleaner, ok := plugins[i].plugin.(Cleaner)
		if !ok {
			continue
		}
		if cleanupErr := cleaner.Cleanup(); cleanupErr != nil && err == nil {
			err = errors.WithMessage(cleanupErr, "clean up "+plugins[i].name)
		}
	}
	return err
}
