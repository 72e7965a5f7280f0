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

// script is a running script of testscript.
type script = *testscript.TestScript

// commands returns the commands of the scripts by name; see the package comment.
func commands() map[string]func(script, bool, []string) {
	return map[string]func(script, bool, []string){
		"fleet":  command(0, (*harness).startFleet),
		"start":  command(1, func(h *harness, _ script, args []string) error { return h.fleet.Start(h.expandAll(args)...) }),
		"crash":  eachInstance(func(h *harness, name string) error { return h.fleet.Kill(name) }),
		"freeze": eachInstance(func(h *harness, name string) error { return h.fleet.Suspend(name) }),
		"thaw":   eachInstance(func(h *harness, name string) error { return h.fleet.Resume(name) }),
		"wipe":   eachInstance(func(h *harness, name string) error { return h.fleet.DeleteData(name) }),
		"drain":  command(1, (*harness).drain),
		"ready": command(1, func(h *harness, _ script, args []string) error {
			ctx, cancel := context.WithTimeout(h.ctx, waitTimeout)
			defer cancel()
			return h.fleet.WaitReady(ctx, h.expandAll(args)...)
		}),
		"notready": eachInstance(func(h *harness, name string) error {
			return h.waitUntil(name+" not ready", func() bool { s, err := h.status(name); return err == nil && !s.Ready })
		}),
		"cut":      linkCommand((*links).cut, true),
		"cutone":   linkCommand((*links).cut, false),
		"heal":     linkCommand((*links).heal, true),
		"silence":  linkCommand((*links).silence, true),
		"submit":   command(1, (*harness).submit),
		"plan":     command(4, (*harness).planMove),
		"reach":    command(1, (*harness).reach),
		"timeline": command(1, (*harness).timeline),
		"fault":    command(2, (*harness).fault),
		"leave":    command(2, (*harness).leave),
		"load":     command(1, (*harness).startLoad),
		"await":    command(1, (*harness).awaitLoad),
		"call":     command(4, (*harness).call),
		"reply":    command(2, (*harness).reply),
		"running": command(1, func(h *harness, _ script, args []string) error {
			return h.waitUntil("run of "+args[0], func() bool { count, err := h.countRuns(args[0]); return err == nil && count > 0 })
		}),
		"runs": command(2, func(h *harness, _ script, args []string) error {
			count, err := h.countRuns(args[0])
			return checkEqual(err, "runs of "+args[0], fmt.Sprint(count), args[1])
		}),
		"mark":  command(1, func(h *harness, _ script, args []string) error { h.marks[args[0]] = time.Now(); return nil }),
		"pause": command(1, func(_ *harness, _ script, args []string) error { return sleep(args[0]) }),
		"quiet": command(2, func(h *harness, _ script, args []string) error {
			count, err := h.countStarts(args)
			return checkEqual(err, "new work in "+args[0], fmt.Sprint(count), "0")
		}),
		"busy": command(2, func(h *harness, _ script, args []string) error {
			count, err := h.countStarts(args)
			return checkEqual(err, "some new work in "+args[0], fmt.Sprint(count > 0), "true")
		}),
		"maxgap": command(3, (*harness).maxGap),
		"breaches": command(1, func(h *harness, ts script, args []string) error {
			evidence, err := h.collectEvidence()
			if err != nil {
				return err
			}
			for _, s := range evidence.Stats {
				if s.Breaches > 0 {
					ts.Logf("%s: %+v", s.Name, s.BreachList)
				}
			}
			return checkEqual(nil, "breaches", fmt.Sprint(evidence.Breaches()), args[0])
		}),
		"owner": command(2, (*harness).setOwner),
		"bystander": command(2, func(h *harness, ts script, args []string) error {
			if err := h.setOwner(ts, args); err != nil {
				return err
			}
			owner := ts.Getenv(args[1])
			for _, r := range h.fleet.InstanceList[3:] { // the first three have a disk and a control replica
				if r.Instance != owner {
					ts.Setenv(args[1], r.Instance)
				}
			}
			return nil
		}),
		"leader": command(1, (*harness).setLeader),
		"voter": eachInstance(func(h *harness, name string) error {
			return h.waitUntil(name+" votes", func() bool {
				s, err := h.status(name)
				return err == nil && slices.Contains(s.Control.Voters, name) && slices.Contains([]string{"leader", "follower"}, s.Control.Role)
			})
		}),
	}
}

// checkEqual returns err, or an error if a value differs from the expected one.
func checkEqual(err error, what, got, want string) error {
	if err == nil && got != want {
		err = fmt.Errorf("%s: %s, want %s", what, got, want)
	}
	return err
}

// eachInstance returns a command that applies f to each instance in its arguments.
func eachInstance(f func(*harness, string) error) func(script, bool, []string) {
	return command(1, func(h *harness, _ script, args []string) error {
		for _, name := range h.expandAll(args) {
			if err := f(h, name); err != nil {
				return err
			}
		}
		return nil
	})
}

// linkCommand returns a command that applies f to the link from one instance to another
// or to all others; with both, also to the opposite direction. It skips an instance's
// link to itself.
func linkCommand(f func(l *links, from, to string), both bool) func(script, bool, []string) {
	return command(2, func(h *harness, _ script, args []string) error {
		for _, to := range h.expandAll(args[1:2]) {
			if to == args[0] {
				continue
			}
			f(&h.links, args[0], to)
			if both {
				f(&h.links, to, args[0])
			}
		}
		return nil
	})
}

// sleep waits for a duration given as text, as in 1.5s.
func sleep(text string) error {
	d, err := time.ParseDuration(text)
	time.Sleep(d)
	return err
}

// drain stops an instance as planned; the process must end within the limit.
func (h *harness) drain(_ script, args []string) error {
	limit := waitTimeout
	if len(args) > 1 {
		var err error
		if limit, err = time.ParseDuration(args[1]); err != nil {
			return err
		}
	}
	return h.fleet.Stop(args[0], limit)
}

// submit runs nutmegctl and sets the mark, if one is given, when the change is accepted.
func (h *harness) submit(ts script, args []string) error {
	mark := ""
	if args[0] == "-mark" && len(args) > 2 {
		mark, args = args[1], args[2:]
	}
	ctx, cancel := context.WithTimeout(h.ctx, waitTimeout)
	defer cancel()
	// -no-wait, because the time bounds count from acceptance.
	out, err := h.fleet.Ctl(ctx, append([]string{"-no-wait"}, args...)...)
	ts.Logf("%s", out)
	if mark != "" && err == nil {
		h.marks[mark] = time.Now()
	}
	return err
}

// fault injects a fault into all targets whose names match the pattern.
func (h *harness) fault(_ script, args []string) error {
	matched := false
	for _, s := range h.fleet.StandinSpecs {
		if ok, err := path.Match(args[0], s.Name); err != nil || !ok {
			continue
		}
		matched = true
		if err := standin.Inject(s.Listen, strings.Join(args[1:], " ")); err != nil {
			return err
		}
	}
	return checkEqual(nil, "a target matches "+args[0], fmt.Sprint(matched), "true")
}

// leave sets a target to leaving. The mark is the time at which the platform's list
// shows this, which is its report lag later.
func (h *harness) leave(_ script, args []string) error {
	if err := standin.SetInstance(h.fleet.Platform, args[1], "leaving"); err != nil {
		return err
	}
	platform, err := h.fleet.Target("platform")
	h.marks[args[0]] = time.Now().Add(time.Duration(platform.ReportLagMs) * time.Millisecond)
	return err
}

// countStarts counts the requests started in a data centre, or on one target, from one
// time to another, or to the present.
func (h *harness) countStarts(args []string) (int, error) {
	from, err := h.parseTime(args[1])
	if err != nil {
		return 0, err
	}
	to := time.Now()
	if len(args) > 2 {
		if to, err = h.parseTime(args[2]); err != nil {
			return 0, err
		}
	}
	evidence, err := h.collectEvidence()
	if err != nil {
		return 0, err
	}
	addresses := h.fleet.TargetAddresses("", args[0])
	if t, err := h.fleet.Target(args[0]); err == nil {
		addresses = []string{t.Listen}
	}
	count := 0
	for _, address := range addresses {
		count += evidence.StartsAfter(address, from) - evidence.StartsAfter(address, to)
	}
	return count, checkEqual(nil, "targets in "+args[0], fmt.Sprint(len(addresses) > 0), "true")
}

// maxGap checks the longest time without a start of work in a pool against a limit.
func (h *harness) maxGap(ts script, args []string) error {
	from, err := h.parseTime(args[1])
	if err != nil {
		return err
	}
	limit, err := time.ParseDuration(args[2])
	if err != nil {
		return err
	}
	evidence, err := h.collectEvidence()
	if err != nil {
		return err
	}
	longest, count := evidence.LongestStartGap(h.fleet.TargetAddresses(args[0], ""), from, time.Now())
	ts.Logf("longest time without new work: %v", longest)
	return checkEqual(nil, "work started, with gaps within "+limit.String(), fmt.Sprint(count > 0 && longest <= limit), "true")
}

// collectEvidence reads the records of all targets.
func (h *harness) collectEvidence() (*loadgen.Evidence, error) {
	return loadgen.Collect(h.ctx, h.fleet.TargetAddresses("", ""))
}

// countRuns counts the runs of a request key on all targets.
func (h *harness) countRuns(key string) (int, error) {
	evidence, err := h.collectEvidence()
	if err != nil {
		return 0, err
	}
	return evidence.Starts[key], nil
}

// setOwner sets a variable of the script to the owner of a pool.
func (h *harness) setOwner(ts script, args []string) error {
	ctx, cancel := context.WithTimeout(h.ctx, waitTimeout)
	defer cancel()
	name, err := h.fleet.Owner(ctx, args[0])
	ts.Setenv(args[1], name)
	return err
}

// setLeader waits for a control leader and sets a variable of the script to its name.
func (h *harness) setLeader(ts script, args []string) error {
	return h.waitUntil("control leader", func() bool {
		for _, r := range h.fleet.InstanceList {
			if s, err := h.status(r.Instance); err == nil && s.Control.Role == "leader" {
				ts.Setenv(args[0], r.Instance)
				return true
			}
		}
		return false
	})
}
