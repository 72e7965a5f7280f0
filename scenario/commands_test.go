package scenario

import (
	"context"
	"fmt"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"nutmegrouter/internal/loadgen"
	"nutmegrouter/internal/standin"
)

type script = *testscript.TestScript

func commands() map[string]func(script, bool, []string) {
	return map[string]func(script, bool, []string){
		"fleet":  command(0, (*world).startFleet),
		"start":  command(1, func(w *world, _ script, a []string) error { return w.fleet.Start(w.expand(a)...) }),
		"crash":  each(func(w *world, name string) error { return w.fleet.Kill(name) }),
		"freeze": each(func(w *world, name string) error { return w.fleet.Freeze(name) }),
		"thaw":   each(func(w *world, name string) error { return w.fleet.Thaw(name) }),
		"wipe":   each(func(w *world, name string) error { return w.fleet.Wipe(name) }),
		"drain":  command(1, (*world).drain),
		"ready": command(1, func(w *world, _ script, a []string) error {
			ctx, cancel := context.WithTimeout(w.ctx, patience)
			defer cancel()
			return w.fleet.WaitReady(ctx, w.expand(a)...)
		}),
		"notready": each(func(w *world, name string) error {
			return w.until(name+" not ready", func() bool { s, err := w.status(name); return err == nil && !s.Ready })
		}),
		"cut":      link((*links).cut, true),
		"cutone":   link((*links).cut, false),
		"heal":     link((*links).heal, true),
		"silence":  link((*links).silence, true),
		"submit":   command(1, (*world).submit),
		"plan":     command(4, (*world).planMove),
		"reach":    command(1, (*world).reach),
		"timeline": command(1, (*world).timeline),
		"fault":    command(2, (*world).fault),
		"leave":    command(2, (*world).leave),
		"load":     command(1, (*world).startLoad),
		"await":    command(1, (*world).await),
		"call":     command(4, (*world).call),
		"reply":    command(2, (*world).reply),
		"running": command(1, func(w *world, _ script, a []string) error {
			return w.until("run of "+a[0], func() bool { n, err := w.runs(a[0]); return err == nil && n > 0 })
		}),
		"runs": command(2, func(w *world, _ script, a []string) error {
			n, err := w.runs(a[0])
			return differ(err, "runs of "+a[0], fmt.Sprint(n), a[1])
		}),
		"mark":  command(1, func(w *world, _ script, a []string) error { w.marks[a[0]] = time.Now(); return nil }),
		"pause": command(1, func(_ *world, _ script, a []string) error { return sleep(a[0]) }),
		"quiet": command(2, func(w *world, _ script, a []string) error {
			n, err := w.startsIn(a)
			return differ(err, "new work in "+a[0], fmt.Sprint(n), "0")
		}),
		"busy": command(2, func(w *world, _ script, a []string) error {
			n, err := w.startsIn(a)
			return differ(err, "some new work in "+a[0], fmt.Sprint(n > 0), "true")
		}),
		"maxgap": command(3, (*world).maxGap),
		"breaches": command(1, func(w *world, ts script, a []string) error {
			ev, err := w.collect()
			if err != nil {
				return err
			}
			for _, s := range ev.Stats {
				if s.Breaches > 0 {
					ts.Logf("%s: %+v", s.Name, s.BreachList)
				}
			}
			return differ(nil, "breaches", fmt.Sprint(ev.Breaches()), a[0])
		}),
		"owner": command(2, (*world).owner),
		"bystander": command(2, func(w *world, ts script, a []string) error {
			if err := w.owner(ts, a); err != nil {
				return err
			}
			owner := ts.Getenv(a[1])
			for _, r := range w.fleet.Routers[3:] { // those without a disk
				if r.Instance != owner {
					ts.Setenv(a[1], r.Instance)
				}
			}
			return nil
		}),
		"leader": command(1, (*world).leader),
		"voter": each(func(w *world, name string) error {
			return w.until(name+" votes", func() bool {
				s, err := w.status(name)
				return err == nil && slices.Contains(s.Control.Voters, name) && slices.Contains([]string{"leader", "follower"}, s.Control.Role)
			})
		}),
	}
}

func differ(err error, what, got, want string) error {
	if err == nil && got != want {
		err = fmt.Errorf("%s: %s, want %s", what, got, want)
	}
	return err
}

func each(f func(*world, string) error) func(script, bool, []string) {
	return command(1, func(w *world, _ script, args []string) error {
		for _, name := range w.expand(args) {
			if err := f(w, name); err != nil {
				return err
			}
		}
		return nil
	})
}

// link applies f to the links from one instance to another or to all.
func link(f func(l *links, from, to string), both bool) func(script, bool, []string) {
	return command(2, func(w *world, _ script, args []string) error {
		for _, to := range w.expand(args[1:2]) {
			if to == args[0] {
				continue
			}
			f(&w.links, args[0], to)
			if both {
				f(&w.links, to, args[0])
			}
		}
		return nil
	})
}

func sleep(text string) error {
	d, err := time.ParseDuration(text)
	time.Sleep(d)
	return err
}

func (w *world) drain(_ script, args []string) error {
	limit := patience
	if len(args) > 1 {
		var err error
		if limit, err = time.ParseDuration(args[1]); err != nil {
			return err
		}
	}
	return w.fleet.Stop(args[0], limit)
}

func (w *world) submit(ts script, args []string) error {
	mark := ""
	if args[0] == "-mark" && len(args) > 2 {
		mark, args = args[1], args[2:]
	}
	ctx, cancel := context.WithTimeout(w.ctx, patience)
	defer cancel()
	// -no-wait: bounds count from acceptance.
	out, err := w.fleet.Ctl(ctx, append([]string{"-no-wait"}, args...)...)
	ts.Logf("%s", out)
	if mark != "" && err == nil {
		w.marks[mark] = time.Now()
	}
	return err
}

func (w *world) fault(_ script, args []string) error {
	hit := false
	for _, s := range w.fleet.Specs {
		if ok, err := path.Match(args[0], s.Name); err != nil || !ok {
			continue
		}
		hit = true
		if err := standin.Inject(s.Listen, strings.Join(args[1:], " ")); err != nil {
			return err
		}
	}
	return differ(nil, "a target matches "+args[0], fmt.Sprint(hit), "true")
}

// leave marks the time from which the platform's list shows the change.
func (w *world) leave(_ script, args []string) error {
	if err := standin.SetInstance(w.fleet.Platform, args[1], "leaving"); err != nil {
		return err
	}
	spec, err := w.fleet.Target("platform")
	w.marks[args[0]] = time.Now().Add(time.Duration(spec.ReportLagMs) * time.Millisecond)
	return err
}

// startsIn counts new work in a data centre, or of one target, in a span.
func (w *world) startsIn(args []string) (int, error) {
	from, err := w.at(args[1])
	if err != nil {
		return 0, err
	}
	to := time.Now()
	if len(args) > 2 {
		if to, err = w.at(args[2]); err != nil {
			return 0, err
		}
	}
	ev, err := w.collect()
	if err != nil {
		return 0, err
	}
	addresses := w.fleet.TargetAddresses("", args[0])
	if t, err := w.fleet.Target(args[0]); err == nil {
		addresses = []string{t.Listen}
	}
	n := 0
	for _, addr := range addresses {
		n += ev.StartsAfter(addr, from) - ev.StartsAfter(addr, to)
	}
	return n, differ(nil, "targets in "+args[0], fmt.Sprint(len(addresses) > 0), "true")
}

// maxGap bounds the longest time without a start of work in a pool.
func (w *world) maxGap(ts script, args []string) error {
	from, err := w.at(args[1])
	if err != nil {
		return err
	}
	limit, err := time.ParseDuration(args[2])
	if err != nil {
		return err
	}
	ev, err := w.collect()
	if err != nil {
		return err
	}
	worst, n := ev.LongestPause(w.fleet.TargetAddresses(args[0], ""), from, time.Now())
	ts.Logf("longest time without new work: %v", worst)
	return differ(nil, "work started, with gaps within "+limit.String(), fmt.Sprint(n > 0 && worst <= limit), "true")
}

func (w *world) collect() (*loadgen.Evidence, error) {
	return loadgen.Collect(w.ctx, w.fleet.TargetAddresses("", ""))
}

func (w *world) runs(key string) (int, error) {
	ev, err := w.collect()
	if err != nil {
		return 0, err
	}
	return ev.Starts[key], nil
}

func (w *world) owner(ts script, args []string) error {
	ctx, cancel := context.WithTimeout(w.ctx, patience)
	defer cancel()
	name, err := w.fleet.Owner(ctx, args[0])
	ts.Setenv(args[1], name)
	return err
}

func (w *world) leader(ts script, args []string) error {
	return w.until("control leader", func() bool {
		for _, r := range w.fleet.Routers {
			if s, err := w.status(r.Instance); err == nil && s.Control.Role == "leader" {
				ts.Setenv(args[0], r.Instance)
				return true
			}
		}
		return false
	})
}
