package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"syscall"
	"time"

	"nutmegrouter/internal/standin/relay"
)

// fault is one kind of trouble. It undoes itself before it returns.
type fault struct {
	name string
	// lost is the number of control instances that it takes away meanwhile.
	lost int
	play func(ctx context.Context, w *world, rng *rand.Rand)
}

// faults returns all kinds of trouble.
func faults() []fault {
	return []fault{
		{"kill-entry", 0, func(ctx context.Context, w *world, rng *rand.Rand) {
			w.bounce(ctx, pick(w.entries(), rng), syscall.SIGKILL, rng)
		}},
		{"stop-entry", 0, func(ctx context.Context, w *world, rng *rand.Rand) {
			w.bounce(ctx, pick(w.entries(), rng), syscall.SIGTERM, rng)
		}},
		{"freeze-entry", 0, func(ctx context.Context, w *world, rng *rand.Rand) { w.freeze(ctx, pick(w.entries(), rng), rng) }},
		{"reload", 0, func(_ context.Context, w *world, rng *rand.Rand) { w.signal(pick(w.nodes, rng), syscall.SIGHUP) }},
		{"kill-control", 1, func(ctx context.Context, w *world, rng *rand.Rand) {
			w.bounce(ctx, pick(w.controls(), rng), syscall.SIGKILL, rng)
		}},
		{"stop-control", 1, func(ctx context.Context, w *world, rng *rand.Rand) {
			w.bounce(ctx, pick(w.controls(), rng), syscall.SIGTERM, rng)
		}},
		{"freeze-control", 1, func(ctx context.Context, w *world, rng *rand.Rand) { w.freeze(ctx, pick(w.controls(), rng), rng) }},
		{"wipe-control", 1, func(ctx context.Context, w *world, rng *rand.Rand) { w.wipe(ctx, pick(w.controls(), rng), rng) }},
		{"torn-log", 1, func(ctx context.Context, w *world, rng *rand.Rand) { w.tear(ctx, pick(w.controls(), rng), rng) }},
		{"all-controls", 9, killControls},
		{"cut-in", 1, func(ctx context.Context, w *world, rng *rand.Rand) {
			w.withRelay(ctx, pick(w.controls(), rng), rng, func(r *relay.Relay) { r.Cut(relay.ToTarget) })
		}},
		{"cut", 1, func(ctx context.Context, w *world, rng *rand.Rand) {
			w.withRelay(ctx, pick(w.controls(), rng), rng, func(r *relay.Relay) { r.Cut(relay.Both) })
		}},
		{"reset", 1, func(ctx context.Context, w *world, rng *rand.Rand) {
			w.withRelay(ctx, pick(w.controls(), rng), rng, func(r *relay.Relay) { r.Down() })
		}},
		{"silent-links", 0, func(_ context.Context, w *world, rng *rand.Rand) { pick(w.controls(), rng).relay.Silence() }},
		{"slow-links", 0, func(ctx context.Context, w *world, rng *rand.Rand) {
			n := pick(w.controls(), rng)
			n.relay.Delay(time.Duration(rng.IntN(60)) * time.Millisecond)
			pause(ctx, rng, 3)
			n.relay.Delay(0)
		}},
		{"targets-fail", 0, func(ctx context.Context, w *world, rng *rand.Rand) { w.trouble(ctx, rng, 0, 300, 0, 0) }},
		{"targets-refuse", 0, func(ctx context.Context, w *world, rng *rand.Rand) { w.trouble(ctx, rng, 400, 0, 0, 0) }},
		{"targets-cut", 0, func(ctx context.Context, w *world, rng *rand.Rand) { w.trouble(ctx, rng, 0, 0, 200, 0) }},
		{"targets-hang", 0, func(ctx context.Context, w *world, rng *rand.Rand) { w.trouble(ctx, rng, 0, 0, 0, 150) }},
		{"target-dark", 0, func(ctx context.Context, w *world, rng *rand.Rand) {
			p := w.proxies[w.targets[rng.IntN(len(w.targets))].ID]
			p.Cut(relay.Both)
			pause(ctx, rng, 3)
			p.Heal()
		}},
		{"target-silent", 0, func(_ context.Context, w *world, rng *rand.Rand) {
			w.proxies[w.targets[rng.IntN(len(w.targets))].ID].Silence()
		}},
		{"replace-target", 0, replaceTarget},
		{"list-refused", 0, func(ctx context.Context, w *world, rng *rand.Rand) {
			w.directory.SetDown(true)
			pause(ctx, rng, 3)
			w.directory.SetDown(false)
		}},
		{"configure", 0, configure},
		{"bad-configuration", 0, badConfiguration},
		{"out-and-back", 0, outAndBack},
	}
}

func pick[T any](list []T, rng *rand.Rand) T { return list[rng.IntN(len(list))] }

// pause waits up to some seconds.
func pause(ctx context.Context, rng *rand.Rand, seconds float64) {
	select {
	case <-ctx.Done():
	case <-time.After(200*time.Millisecond + time.Duration(rng.Float64()*seconds*float64(time.Second))):
	}
}

// bounce ends a process by a signal and starts it again.
func (w *world) bounce(ctx context.Context, n *node, s syscall.Signal, rng *rand.Rand) {
	if !w.running(n) || n.frozen {
		return
	}
	w.signal(n, s)
	if p, err := w.procs.Get(n.name); err == nil {
		select {
		case <-p.Done():
		case <-time.After(stopMs * time.Millisecond):
			w.signal(n, syscall.SIGKILL)
			<-p.Done()
		}
	}
	pause(ctx, rng, 1)
	w.restart(n)
}

func (w *world) restart(n *node) {
	if err := w.start(n); err != nil {
		w.opt.Log("restart %s: %v", n.name, err)
	}
}

func (w *world) freeze(ctx context.Context, n *node, rng *rand.Rand) {
	if !w.running(n) {
		return
	}
	n.frozen = true
	w.signal(n, syscall.SIGSTOP)
	pause(ctx, rng, 4)
	w.signal(n, syscall.SIGCONT)
	n.frozen = false
}

// wipe ends a control instance and starts it with an empty disk.
func (w *world) wipe(ctx context.Context, n *node, rng *rand.Rand) {
	if !w.running(n) || n.frozen {
		return
	}
	w.signal(n, syscall.SIGKILL)
	if p, err := w.procs.Get(n.name); err == nil {
		<-p.Done()
	}
	if err := os.RemoveAll(n.dataDir); err != nil {
		w.opt.Log("wipe %s: %v", n.name, err)
	}
	pause(ctx, rng, 1)
	w.restart(n)
}

// tear ends a control instance and leaves a torn tail on its log.
func (w *world) tear(ctx context.Context, n *node, rng *rand.Rand) {
	if !w.running(n) || n.frozen {
		return
	}
	w.signal(n, syscall.SIGKILL)
	if p, err := w.procs.Get(n.name); err == nil {
		<-p.Done()
	}
	f, err := os.OpenFile(n.dataDir+"/control/log", os.O_APPEND|os.O_WRONLY, 0)
	if err == nil {
		_, err = f.Write([]byte{0x17, 0, 0, 0, 9, 9, 9})
		_ = f.Close() // the next read shows what was written
	}
	if err != nil {
		w.opt.Log("tear %s: %v", n.name, err)
	}
	pause(ctx, rng, 0.5)
	w.restart(n)
}

// killControls kills all control instances at the same moment.
func killControls(ctx context.Context, w *world, rng *rand.Rand) {
	for _, n := range w.controls() {
		if w.running(n) {
			w.signal(n, syscall.SIGKILL)
		}
	}
	for _, n := range w.controls() {
		if p, err := w.procs.Get(n.name); err == nil {
			<-p.Done()
		}
	}
	pause(ctx, rng, 0.5)
	for _, n := range w.controls() {
		w.restart(n)
	}
}

// withRelay plays a fault of the links to a control instance.
func (w *world) withRelay(ctx context.Context, n *node, rng *rand.Rand, f func(*relay.Relay)) {
	f(n.relay)
	pause(ctx, rng, 4)
	n.relay.Heal()
}

// trouble makes a part of the targets fail for a while.
func (w *world) trouble(ctx context.Context, rng *rand.Rand, refuse, fail, cut, hang int32) {
	var hit []int
	for i := range w.targets {
		if rng.IntN(3) == 0 {
			hit = append(hit, i)
			w.targets[i].Trouble.Set(refuse, fail, cut, hang)
		}
	}
	pause(ctx, rng, 4)
	for _, i := range hit {
		w.targets[i].Trouble.Set(0, 0, 0, 0)
	}
}

// replaceTarget has a target leave, starts another one, and ends the former.
func replaceTarget(ctx context.Context, w *world, rng *rand.Rand) {
	i := rng.IntN(len(w.targets))
	old := w.targets[i]
	t, err := w.addTarget(old.Service, old.Engine, old.Slots, old.DataCentre)
	if err != nil {
		w.opt.Log("replace %s: %v", old.ID, err)
		return
	}
	w.targets[i], w.targets = t, w.targets[:len(w.targets)-1]
	old.Leave()
	select {
	case <-ctx.Done():
	case <-time.After(leaveMs*time.Millisecond + time.Duration(rng.IntN(3000))*time.Millisecond):
	}
	old.Close()
	w.proxies[old.ID].Close()
	time.Sleep(time.Second) // the list shows a target for a while after its end
	w.directory.Remove(old.ID)
}

// configure sends a newer configuration with further routes.
func configure(ctx context.Context, w *world, rng *rand.Rand) {
	w.config.Version += 1 + rng.IntN(3)
	extra := w.config.Routes[0]
	extra.Prefix = "/extra" + extra.Prefix
	extra.TimeoutMs += rng.IntN(1000)
	w.config.Routes = append(w.config.Routes[:4:4], extra)
	version := w.config.Version
	if err := w.await(ctx, "configuration", func() bool { return w.replace(ctx) }); err != nil {
		w.opt.Log("configuration %d not accepted: %v", version, err)
		return
	}
	w.accepted = version
}

// badConfiguration sends an invalid one, which must be refused.
func badConfiguration(ctx context.Context, w *world, rng *rand.Rand) {
	doc := w.config.Document()
	doc = doc[:len(doc)-1-rng.IntN(len(doc)/2)]
	status, err := w.operator.Replace(ctx, pick(w.controls(), rng).address(operatorPort), doc)
	if err == nil && status != http.StatusBadRequest && status != http.StatusServiceUnavailable {
		w.ledger.Break("an invalid configuration was answered with " + http.StatusText(status))
	}
}

// outAndBack takes a data centre out of service and back.
func outAndBack(ctx context.Context, w *world, rng *rand.Rand) {
	dc := pick(dataCentres, rng)
	move := func(out bool) func() bool {
		return func() bool {
			status, err := w.operator.Move(ctx, pick(w.controls(), rng).address(operatorPort), dc, out)
			return err == nil && status == http.StatusOK
		}
	}
	if err := w.await(ctx, dc+" out", move(true)); err != nil {
		w.opt.Log("%v", err)
		return
	}
	pause(ctx, rng, 3)
	if err := w.await(ctx, dc+" back", move(false)); err != nil {
		w.opt.Log("%v", err)
	}
}
