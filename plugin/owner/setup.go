// Package owner places the model requests of all entry instances on the control
// leader: it sees all work on each target, which no entry instance does.
package owner

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/logqueue"
	"nutmegrouter/internal/placement"
	"nutmegrouter/internal/placewire"
	"nutmegrouter/internal/routing"
	"nutmegrouter/internal/settings"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:   "owner",
		Order:  kernel.OrderPlacer,
		New:    func() kernel.Plugin { return &Owner{} },
		Wanted: kernel.RoutedControl,
	})
}

const (
	inboxSize = 8192 // messages
	// tickInterval is how often waiting requests are looked at without an event.
	tickInterval = 10 * time.Millisecond
	// aliveInterval is how often entry instances with waiting requests are told
	// that the owner is there.
	aliveInterval = 100 * time.Millisecond
	// goneAfter is how long the requests of an entry instance without a link count.
	goneAfter = 1500 * time.Millisecond
	// watchInterval is how often the owner looks at the clock while nothing happens, and
	// pauseLeast is the time without a look from which it counts as having been stopped or
	// delayed. Another owner may follow after 0.5 s, an election timeout.
	watchInterval = 100 * time.Millisecond
	pauseLeast    = 400 * time.Millisecond
	// confirmLimit bounds the question whether the majority still follows, confirmPause
	// separates two of them.
	confirmLimit = time.Second
	confirmPause = 20 * time.Millisecond
)

// Owner is the plug-in. It must be provisioned before use.
type Owner struct {
	kernel    *kernel.Context
	mesh      api.Mesh
	fleet     api.Fleet
	directory api.Directory
	dialect   api.Dialect
	control   api.Control
	clock     kernel.Clock
	log       *slog.Logger

	inbox   *kernel.Ring[func()]
	state   *placement.Owner
	term    uint64 // of the ownership; 0 = not the owner
	table   *routing.Table
	aliveAt time.Duration

	instant func() kernel.Instant
	lapse   kernel.Lapse
	// doubted is set from a pause on until a majority has confirmed the ownership.
	doubted bool

	grants, refusals *metrics.Counter
	decide           *metrics.Histogram
}

// Provision implements kernel.Plugin.
func (o *Owner) Provision(c *kernel.Context) (err error) {
	if o.mesh, err = kernel.Lookup[api.Mesh](c); err != nil {
		return err
	}
	if o.fleet, err = kernel.Lookup[api.Fleet](c); err != nil {
		return err
	}
	if o.directory, err = kernel.Lookup[api.Directory](c); err != nil {
		return err
	}
	if o.dialect, err = kernel.Lookup[api.Dialect](c); err != nil {
		return err
	}
	if o.control, err = kernel.Lookup[api.Control](c); err != nil {
		return err
	}
	roster, err := kernel.Lookup[api.Roster](c)
	if err != nil {
		return err
	}
	o.kernel, o.clock, o.log = c, c.Clock, c.Log.With("plugin", "owner")
	o.instant = kernel.Now
	o.inbox = kernel.NewRing[func()](c.Metrics, "owner", inboxSize)
	o.grants = c.Metrics.NewCounter("nutmeg_owner_grants_total")
	o.refusals = c.Metrics.NewCounter("nutmeg_owner_refusals_total")
	o.decide = c.Metrics.NewHistogram("nutmeg_owner_decide_seconds")
	o.mesh.Handle(placewire.MethodUp, o.handleUp)
	o.fleet.OnChange(func(*api.View) { o.inbox.Push(o.viewChanged) })
	o.directory.OnChange(func() { o.inbox.Push(o.viewChanged) })
	o.control.OnStatus(func(s api.ControlStatus) { o.inbox.Push(func() { o.statusChanged(s) }) })
	roster.OnLink(o.linkChanged)
	return nil
}

// Start implements kernel.Starter.
func (o *Owner) Start(d *kernel.Duties) error {
	d.Go("owner", o.run)
	return nil
}

// run is the only goroutine that touches the state.
func (o *Owner) run(ctx context.Context) error {
	t := time.NewTimer(tickInterval)
	defer t.Stop()
	for {
		var tick <-chan time.Time
		if o.term != 0 {
			interval := watchInterval
			if o.state.Waiting() > 0 {
				interval = tickInterval
			}
			t.Reset(interval)
			tick = t.C
		}
		var f func()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f = <-o.inbox.C():
		case <-tick:
		}
		o.look(ctx)
		if f != nil {
			f()
			o.drain()
		}
		if o.term != 0 {
			o.answer()
		}
	}
}

// look has the ownership confirmed after a pause: another instance may have become the
// owner, and this one has not heard of it yet.
func (o *Owner) look(ctx context.Context) {
	if o.term == 0 {
		o.lapse.Forget()
		return
	}
	pause := o.lapse.Look(o.instant())
	if pause < pauseLeast || o.doubted {
		return
	}
	o.doubted = true
	term := o.term
	logqueue.Notice(o.log, "ownership in doubt after a pause", "step", "owner", "term", term, "pause_ms", pause.Milliseconds())
	go o.confirm(ctx, term)
}

// confirm asks until a majority follows this instance, or it is not the owner any more.
func (o *Owner) confirm(ctx context.Context, term uint64) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, confirmLimit)
		_, err := o.control.ReadRevision(limited)
		cancel()
		s := o.control.Status()
		if s.Role != "leader" || s.Term != term {
			return // statusChanged ends the ownership
		}
		if err != nil {
			o.log.Warn("ownership not confirmed", "step", "owner", "term", term, "error", err)
		} else if o.inbox.Push(func() { o.confirmed(term) }) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(confirmPause):
		}
	}
}

// confirmed ends the doubt in the ownership of a term.
func (o *Owner) confirmed(term uint64) {
	if o.term == term {
		o.doubted = false
		logqueue.Notice(o.log, "ownership confirmed", "step", "owner", "term", term)
	}
}

// drain handles what has queued up, so that it shares one round of decisions.
func (o *Owner) drain() {
	for range o.inbox.Len() {
		select {
		case f := <-o.inbox.C():
			f()
		default:
			return
		}
	}
}

// statusChanged begins or ends the ownership with the leadership.
func (o *Owner) statusChanged(s api.ControlStatus) {
	switch {
	case s.Role != "leader" && o.term != 0:
		logqueue.Notice(o.log, "ownership ended", "step", "owner", "term", o.term)
		o.term, o.state, o.doubted = 0, nil, false
	case s.Role == "leader" && o.term != s.Term:
		b := o.kernel.Settings.Routes.Bounds
		o.term, o.doubted = s.Term, false
		o.state = placement.NewOwner(placement.Config{
			ShareWindow: settings.Ms(b.ShareWindowMs), ColdOverage: b.ColdOverage, ColdSlack: b.ColdSlack,
		})
		logqueue.Notice(o.log, "ownership begins", "step", "owner", "term", o.term)
		o.viewChanged()
	}
}

func (o *Owner) viewChanged() {
	if o.term == 0 {
		return
	}
	v := o.fleet.View()
	if o.table == nil || o.table.Version != v.Version {
		o.readTable(v)
	}
	if o.table == nil {
		return
	}
	o.state.SetView(placement.View{
		Services: o.table.Services, Targets: o.directory.Targets(), Out: v.Out, TokensPerSecond: o.table.TokensPerSecond,
	}, o.clock.Now())
}

func (o *Owner) readTable(v *api.View) {
	t, err := v.Table(o.dialect)
	if err != nil {
		o.log.Error("configuration not readable", "step", "view", "version", v.Version, "error", err)
		return
	}
	if t != nil {
		o.table = t
	}
}

// linkChanged forgets the requests of an entry instance that stays away: its
// connections to the targets are gone with it.
func (o *Owner) linkChanged(c api.LinkChange) {
	if c.Up || c.Control {
		return
	}
	time.AfterFunc(goneAfter, func() {
		if o.mesh.Reachable(c.Peer) {
			return
		}
		o.inbox.Push(func() {
			if o.term != 0 {
				o.state.Forget(c.Peer)
			}
		})
	})
}

func (o *Owner) handleUp(_ context.Context, from string, params json.RawMessage) (any, error) {
	var u placewire.Up
	if err := json.Unmarshal(params, &u); err != nil {
		return nil, errors.WithMessage(err, placewire.MethodUp)
	}
	if !o.inbox.Push(func() { o.take(from, &u) }) {
		o.log.Warn("message dropped: too many wait", "step", "owner", "peer", from)
	}
	return nil, nil
}

// take applies what an entry instance tells.
func (o *Owner) take(from string, u *placewire.Up) {
	if o.term == 0 || u.Term != o.term {
		o.send(from, placewire.Down{Term: u.Term, Not: true})
		return
	}
	now := o.clock.Now()
	if u.Whole {
		o.state.Forget(from)
	}
	for i := range u.Running {
		r := &u.Running[i]
		o.state.Running(placement.Key{Entry: from, Number: r.Number}, r.Ask.Ask(u.DataCentre), r.Target, r.Began, time.Duration(r.AgoMs)*time.Millisecond, now)
	}
	for _, n := range u.Began {
		o.state.Began(placement.Key{Entry: from, Number: n}, now)
	}
	for _, e := range u.Ends {
		o.state.End(placement.Key{Entry: from, Number: e.Number}, e.Outcome, now)
	}
	for workspace, tokens := range u.TurnedAway {
		o.state.TurnedAway(workspace, tokens, now)
	}
	for workspace, requests := range u.Refused {
		for _, r := range requests {
			o.state.Refused(workspace, r.Tokens(), r.Own(), r.Objective(), now)
		}
	}
	if o.doubted {
		// What has ended counts; what is asked for is placed by the entry instance.
		o.send(from, placewire.Down{Term: u.Term, Not: true})
		return
	}
	for i := range u.Asks {
		a := &u.Asks[i]
		o.state.Ask(placement.Key{Entry: from, Number: a.Number}, a.Ask(u.DataCentre), now)
	}
}

// answer decides and tells the entry instances.
func (o *Owner) answer() {
	begin := time.Now()
	now := o.clock.Now()
	o.state.Tick(now)
	decisions := o.state.Decisions()
	down := map[string]*placewire.Down{}
	to := func(entry string) *placewire.Down {
		d := down[entry]
		if d == nil {
			d = &placewire.Down{Term: o.term}
			down[entry] = d
		}
		return d
	}
	if o.doubted {
		for _, d := range decisions {
			down[d.Key.Entry] = &placewire.Down{Term: o.term, Not: true}
		}
		decisions = nil
	}
	for _, d := range decisions {
		if d.Target != "" {
			o.grants.Inc()
		} else {
			o.refusals.Inc()
		}
		m := to(d.Key.Entry)
		m.Grants = append(m.Grants, placewire.NewGrant(d))
	}
	if now-o.aliveAt >= aliveInterval && !o.doubted {
		o.aliveAt = now
		for _, entry := range o.state.Entries() {
			to(entry)
		}
	}
	if len(decisions) > 0 {
		o.decide.Update(time.Since(begin).Seconds())
	}
	for entry, d := range down {
		o.send(entry, *d)
	}
}

func (o *Owner) send(to string, d placewire.Down) {
	if err := o.mesh.Notify(to, placewire.MethodDown, d); err != nil {
		o.log.Debug("decision not sent", "step", "owner", "peer", to, "error", err) // the entry instance decides itself
	}
}
