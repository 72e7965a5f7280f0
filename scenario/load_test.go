package scenario

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"nutmegrouter/internal/fleetrun"
	"nutmegrouter/internal/loadgen"
)

// load is load under way.
type load struct {
	run  *loadgen.Run
	done chan struct{}
}

// kinds are the requests that load may name.
func kinds(names string) ([]loadgen.Kind, error) {
	all := append(loadgen.StandardKinds(fleetrun.EnginePool, fleetrun.Model, fleetrun.ServicePool),
		loadgen.Kind{Name: "stream", Share: 10, Class: "long", Pool: fleetrun.EnginePool, Model: fleetrun.Model, Least: 300, Most: 500})
	var out []loadgen.Kind
	for _, name := range strings.Split(names, ",") {
		i := slices.IndexFunc(all, func(k loadgen.Kind) bool { return k.Name == name })
		if i < 0 {
			return nil, fmt.Errorf("unknown kind %q", name)
		}
		out = append(out, all[i])
	}
	return out, nil
}

func (w *world) plan(seed uint64) *loadgen.Plan {
	p := &loadgen.Plan{Seed: seed, Rate: 100, Duration: 10 * time.Second, Attempts: 1}
	p.Entries, p.Ready = w.fleet.Entries()
	shares := loadgen.Skewed(len(w.fleet.Workspaces), 0.8)
	for i, ws := range w.fleet.Workspaces {
		p.Workspaces = append(p.Workspaces, loadgen.Workspace{Name: ws.Name, Key: ws.Key, Weight: ws.Weight, Share: shares[i]})
	}
	return p
}

func (w *world) startLoad(_ script, args []string) error {
	p := w.plan(uint64(len(w.loads) + 1))
	p.Kinds, _ = kinds("long,quick,label,call")
	for _, a := range args[1:] {
		if err := w.planOption(p, a); err != nil {
			return err
		}
	}
	l := &load{run: loadgen.New(p), done: make(chan struct{})}
	w.loads[args[0]] = l
	go func() {
		defer close(l.done)
		l.run.Do(w.ctx)
	}()
	return nil
}

func (w *world) planOption(p *loadgen.Plan, arg string) (err error) {
	key, v, _ := strings.Cut(arg, "=")
	switch key {
	case "rate":
		p.Rate, err = strconv.ParseFloat(v, 64)
	case "for":
		p.Duration, err = time.ParseDuration(v)
	case "kinds":
		p.Kinds, err = kinds(v)
	case "attempts":
		p.Attempts, err = strconv.Atoi(v)
	case "seed":
		p.Seed, err = strconv.ParseUint(v, 10, 64)
	case "entries":
		p.Entries, p.Ready = nil, nil
		for _, name := range strings.Split(v, ",") {
			r, err := w.fleet.Router(name)
			if err != nil {
				return err
			}
			p.Entries, p.Ready = append(p.Entries, r.Listen), append(p.Ready, "http://"+r.Admin+"/ready")
		}
	default:
		err = fmt.Errorf("unknown argument %q", arg)
	}
	return err
}

// await waits for load and bounds each count; what is not named must be 0,
// except that refusals which say "not run" truthfully are free unless named.
func (w *world) await(ts script, args []string) error {
	l := w.loads[args[0]]
	if l == nil {
		return fmt.Errorf("no load %q", args[0])
	}
	<-l.done
	ev, err := w.collect()
	if err != nil {
		return err
	}
	rep := l.run.Report(ev)
	var text bytes.Buffer
	rep.Write(&text)
	ts.Logf("%s", text.String())
	t := rep.Total
	limit, err := numbers(args[1:], map[string]int{"lost": 0, "unknown": 0, "broken": 0, "refused": t.Sent, "whole": 1})
	if err != nil {
		return err
	}
	for name, got := range map[string]int{"lost": t.Lost, "unknown": t.Unknown, "broken": t.Broken, "refused": t.Refused} {
		if got > limit[name] {
			return fmt.Errorf("load %s: %d %s, want at most %d", args[0], got, name, limit[name])
		}
	}
	if t.Wrong+t.Doubled+t.FalselyRefused+t.Skipped > 0 || t.Whole < limit["whole"] {
		return fmt.Errorf("load %s: wrong %d, doubled %d, falsely refused %d, skipped %d, whole %d (want at least %d)",
			args[0], t.Wrong, t.Doubled, t.FalselyRefused, t.Skipped, t.Whole, limit["whole"])
	}
	return nil
}

// reply is the outcome of one call.
type reply struct {
	verdict loadgen.Verdict
	code    string
}

func (w *world) call(_ script, args []string) error {
	r, err := w.fleet.Router(args[1])
	if err != nil {
		return err
	}
	ms, err := strconv.Atoi(args[3])
	if err != nil {
		return err
	}
	kind := &loadgen.Kind{Name: "call", Pool: fleetrun.ServicePool, Keyed: true}
	j := &loadgen.Job{Tag: args[2], Kind: kind, Size: ms, Hint: 1}
	out := make(chan reply, 1)
	w.calls[args[0]] = out
	go func() {
		v, code := w.plan(1).Send(w.ctx, j, r.Listen)
		out <- reply{v, code}
	}()
	return nil
}

func (w *world) reply(ts script, args []string) error {
	out, ok := w.calls[args[0]]
	if !ok {
		return fmt.Errorf("no call %q", args[0])
	}
	select {
	case r := <-out:
		ts.Logf("call %s: %s %s", args[0], r.verdict, r.code)
		if !slices.Contains(args[1:], r.verdict.String()) {
			return fmt.Errorf("call %s: %s (%s), want one of %v", args[0], r.verdict, r.code, args[1:])
		}
		return nil
	case <-time.After(patience):
		return fmt.Errorf("call %s: no reply within %v", args[0], patience)
	}
}
