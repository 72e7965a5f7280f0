package dispatch

import (
	"strconv"
	"sync"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
)

// health remembers how the last work on each target ended and what the target
// said about itself, and reports only changes: under load a dead target would
// fill the timeline with one event per request. It decides nothing; admission is
// the scheduler's.
type health struct {
	mu      sync.Mutex
	targets map[string]targetHealth
}

type targetHealth struct {
	failing bool
	warmth  api.Warmth
	boot    uint64
}

func newHealth() *health { return &health{targets: map[string]targetHealth{}} }

// observe notes an outcome and returns what changed, in words; nil if nothing.
// Cancelled work and work that did not start say nothing about the target.
func (h *health) observe(target string, o api.Outcome) []string {
	if o.Result != api.ResultOK && o.Result != api.ResultFailed {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.targets[target]
	now := targetHealth{failing: o.Result == api.ResultFailed, warmth: old.warmth, boot: old.boot}
	if o.Warmth != api.WarmthUnknown {
		now.warmth = o.Warmth
	}
	if o.Boot != 0 {
		now.boot = o.Boot
	}
	if now == old {
		return nil
	}
	h.targets[target] = now
	return now.changes(old)
}

// changes describes a step from old to now. The first warmth and boot number of
// a target are news only if it is cold.
func (now targetHealth) changes(old targetHealth) []string {
	var out []string
	if now.failing != old.failing {
		out = append(out, word(now.failing, "failing", "answering"))
	}
	if now.warmth != old.warmth && (old.warmth != api.WarmthUnknown || now.warmth == api.WarmthCold) {
		out = append(out, string(now.warmth))
	}
	if now.boot != old.boot && old.boot != 0 {
		out = append(out, "boot "+strconv.FormatUint(now.boot, 10))
	}
	return out
}

func word(cond bool, yes, no string) string {
	if cond {
		return yes
	}
	return no
}

// keep forgets the targets that a new view no longer has.
func (h *health) keep(v *api.View) {
	x := newIndex(v)
	h.mu.Lock()
	defer h.mu.Unlock()
	for name := range h.targets {
		if _, ok := x.targets[name]; !ok {
			delete(h.targets, name)
		}
	}
}

// observe records the changes of a target's state as events.
func (d *Dispatcher) observe(s *slot, o api.Outcome, detail string) {
	for _, step := range d.health.observe(s.grant.Target, o) {
		d.events.Record(kernel.Event{
			Kind: "target", Step: step, Pool: s.call.req.Pool, Target: s.grant.Target,
			Epoch: s.grant.Epoch, Request: s.call.id, Detail: detail,
		})
		if step == "failing" || step == "answering" {
			d.log.Info("target "+step, "step", "dispatch", "peer", s.grant.Target, "detail", detail)
		}
	}
}
