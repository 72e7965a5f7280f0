package dispatch

import (
	"strconv"
	"sync"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
)

// healthTracker stores the last outcome and the last reported state of each target
// and returns only changes: otherwise a failed target under load would fill the
// timeline with one event per request. It is used for events and logs only; the
// scheduler does admission.
type healthTracker struct {
	mu      sync.Mutex
	targets map[string]targetHealth
}

// targetHealth is the last known state of a target.
type targetHealth struct {
	failing bool
	warmth  api.Warmth
	boot    uint64
}

func newHealthTracker() *healthTracker { return &healthTracker{targets: map[string]targetHealth{}} }

// observe stores an outcome and returns the changes as event steps, or nil if there
// are none. It ignores cancelled attempts and attempts that were not started,
// because they do not depend on the target's health.
func (h *healthTracker) observe(target string, o api.GrantOutcome) []string {
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
	if o.BootNumber != 0 {
		now.boot = o.BootNumber
	}
	if now == old {
		return nil
	}
	h.targets[target] = now
	return now.changes(old)
}

// changes returns the differences from old to now as event steps. The first known
// warmth counts as a change only if it is cold, the first known boot number does
// not count.
func (now targetHealth) changes(old targetHealth) []string {
	var out []string
	if now.failing != old.failing {
		out = append(out, choose(now.failing, "failing", "answering"))
	}
	if now.warmth != old.warmth && (old.warmth != api.WarmthUnknown || now.warmth == api.WarmthCold) {
		out = append(out, string(now.warmth))
	}
	if now.boot != old.boot && old.boot != 0 {
		out = append(out, "boot "+strconv.FormatUint(now.boot, 10))
	}
	return out
}

// choose returns yes if cond is true, otherwise no.
func choose(cond bool, yes, no string) string {
	if cond {
		return yes
	}
	return no
}

// removeMissing deletes the state of targets that are not in the view.
func (h *healthTracker) removeMissing(v *api.View) {
	x := newIndex(v)
	h.mu.Lock()
	defer h.mu.Unlock()
	for name := range h.targets {
		if _, ok := x.targets[name]; !ok {
			delete(h.targets, name)
		}
	}
}

// recordHealth records changes of a target's health as events. Changes between failing
// and answering are also logged.
func (d *Dispatcher) recordHealth(a *attempt, o api.GrantOutcome, detail string) {
	for _, step := range d.health.observe(a.grant.Target, o) {
		d.events.Record(kernel.Event{
			Kind: "target", Step: step, Pool: a.call.req.Pool, Target: a.grant.Target,
			Epoch: a.grant.Epoch, RequestID: a.call.id, Detail: detail,
		})
		if step == "failing" || step == "answering" {
			d.log.Info("target "+step, "step", "dispatch", "peer", a.grant.Target, "detail", detail)
		}
	}
}
