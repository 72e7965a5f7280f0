package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"nutmegrouter/internal/settings"
	"nutmegrouter/platform/standin"
)

// rolloutBounds are the bounds on rollouts that are written to the instances' settings.
var rolloutBounds = settings.Rollouts{ExposureShare: 0.1, ExposureSlack: 50, RollbackMs: 5000}

const (
	rolloutDuration = 6 * time.Second
	// maxRolloutTime is the time from the order in which a rollout must have ended although control instances fail.
	maxRolloutTime = 25 * time.Second
	// connectedAfter is the time without a disturbance after which an instance counts as connected and the control
	// group as stable: 4 s, and more than the longest suspension, of which only the ends are recorded.
	connectedAfter = 6 * time.Second
)

// rollout is a rollout of a service and what operators saw of it.
type rollout struct {
	service, version string
	bad              bool
	ordered          time.Time // the order was first sent
	ended            time.Time // an operator first read another state than running; zero = never
	state            string    // as read then
	// unused is the version whose targets must not be used after the end; "" = none.
	unused []string
}

// startRollout moves a random service to a new version, good or bad, and plays the platform's part: it starts the new
// targets after the order and stops those of the losing versions after the end. It goes on when the injection of
// faults ends.
func startRollout(ctx context.Context, h *harness, rng *rand.Rand) {
	ctx = context.WithoutCancel(ctx)
	service := pick([]string{"model", "orders"}, rng)
	r := h.newRollout(service)
	if r == nil {
		return // another one runs
	}
	defer h.endRollout(service)
	bad := drawBadVersion(rng)
	r.bad = bad != nil
	h.opt.Log("rollout of %s to %s, bad: %v", service, r.version, r.bad)
	r.ordered = time.Now()
	if err := h.waitFor(ctx, "order of a rollout", func() bool {
		status, err := h.operator.StartRollout(ctx, pick(h.controlInstances(), rng).address(operatorPort), service, r.version, rolloutDuration)
		return err == nil && status == http.StatusOK
	}); err != nil {
		h.runLog.RecordViolation(err.Error())
		return
	}
	randomPause(ctx, rng, 1)
	old := h.targetsOf(service)
	if bad != nil && !bad.From.IsZero() {
		bad.From = time.Now().Add(time.Duration(1+rng.IntN(3)) * time.Second)
	}
	var added []*standin.Target
	for _, t := range old {
		target, err := h.addVersion(service, t.Engine, t.Slots, t.DataCentre, r.version, bad)
		if err != nil {
			h.opt.Log("rollout of %s: %v", service, err)
			return
		}
		added = append(added, target)
	}
	h.awaitEnd(ctx, r, rng)
	if bad != nil {
		// With few requests a bad version may succeed. The run goes on with a good one.
		defer bad.End()
	}
	if r.state == standin.RolloutSucceeded {
		for _, t := range old {
			if !slices.Contains(r.unused, t.ListedVersion()) {
				r.unused = append(r.unused, t.ListedVersion())
			}
		}
		added = old
	} else {
		r.unused = []string{r.version}
		time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
		for _, t := range added {
			t.MarkDraining()
		}
	}
	// Targets that must not be used stay up for a time, so that requests to them are seen.
	time.Sleep(leaveMs * time.Millisecond)
	h.stopTargets(added...)
}

// drawBadVersion returns nil for a good version in half of the cases. From is set for one that turns bad later.
func drawBadVersion(rng *rand.Rand) *standin.BadVersion {
	return pick([]*standin.BadVersion{
		nil, nil, nil, nil,
		{FailShare: 0.5},
		{Slowdown: 6},
		{FailShare: 0.7, From: time.Now()},
		{FailShare: 0.7, PathPrefix: pick([]string{"/draft/", "/look/"}, rng)},
	}, rng)
}

// newRollout records a rollout of a service to a new version, or returns nil if one runs.
func (h *harness) newRollout(service string) *rollout {
	h.rolloutsMu.Lock()
	defer h.rolloutsMu.Unlock()
	if h.rollingOut[service] {
		return nil
	}
	h.rollingOut[service] = true
	r := &rollout{service: service, version: fmt.Sprintf("v%d", len(h.rollouts)+2)}
	h.rollouts = append(h.rollouts, r)
	return r
}

// isRollingOut reports whether a rollout of a service is under way.
func (h *harness) isRollingOut(service string) bool {
	h.rolloutsMu.Lock()
	defer h.rolloutsMu.Unlock()
	return h.rollingOut[service]
}

func (h *harness) endRollout(service string) {
	h.rolloutsMu.Lock()
	defer h.rolloutsMu.Unlock()
	h.rollingOut[service] = false
}

// awaitEnd reads the state of a rollout from random control instances until it has ended.
func (h *harness) awaitEnd(ctx context.Context, r *rollout, rng *rand.Rand) {
	for time.Since(r.ordered) < maxRolloutTime {
		status, state, err := h.operator.ReadRollout(ctx, pick(h.controlInstances(), rng).address(operatorPort), r.service)
		switch {
		case err != nil || status != http.StatusOK && status != http.StatusNotFound:
			// not answered or not confirmed
		case status == http.StatusNotFound || state.Target != r.version:
			h.runLog.RecordViolation(fmt.Sprintf("rollout of %s to %s was acknowledged, but read with status %d as %+v", r.service, r.version, status, state))
			return
		case state.State != standin.RolloutRunning:
			r.state, r.ended = state.State, time.Now()
			h.opt.Log("rollout of %s to %s: %s after %v", r.service, r.version, r.state, r.ended.Sub(r.ordered))
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	h.runLog.RecordViolation(fmt.Sprintf("rollout of %s to %s has not ended after %v", r.service, r.version, maxRolloutTime))
}

// checkRollouts checks what the versions got, and that the acknowledged states are still there.
func (h *harness) checkRollouts(ctx context.Context, byID map[string]*request) (violations []string) {
	newest := map[string]*rollout{}
	for _, r := range h.rollouts {
		newest[r.service] = r
		violations = append(violations, h.checkExposure(r, byID)...)
		violations = append(violations, h.checkUnused(r, byID)...)
	}
	for service, r := range newest {
		if r.ended.IsZero() {
			continue // a violation is recorded already
		}
		var state standin.RolloutState
		err := h.waitFor(ctx, "state of the rollout of "+service, func() bool {
			var status int
			var err error
			status, state, err = h.operator.ReadRollout(ctx, h.controlInstances()[0].address(operatorPort), service)
			return err == nil && status == http.StatusOK
		})
		if want := (standin.RolloutState{State: r.state, Target: r.version}); err != nil || state != want {
			violations = append(violations, fmt.Sprintf("rollout of %s: read %+v (%v) at the end, but %+v before", service, state, err, want))
		}
	}
	return violations
}

// checkExposure checks the bounds on the requests to a bad version.
func (h *harness) checkExposure(r *rollout, byID map[string]*request) (violations []string) {
	if !r.bad {
		return nil
	}
	byVersion, all := h.runLog.CountByVersion(r.service, r.ordered, r.ordered.Add(rolloutDuration)), 0
	for _, n := range byVersion {
		all += n
	}
	if limit := rolloutBounds.ExposureShare*float64(all) + rolloutBounds.ExposureSlack; float64(byVersion[r.version]) > limit {
		violations = append(violations, fmt.Sprintf("rollout of %s: the bad version %s got %d of %d requests, want at most %.0f", r.service, r.version, byVersion[r.version], all, limit))
	}
	responses := h.runLog.BadResponses(r.service, r.version)
	for _, a := range h.runLog.Arrivals() {
		if a.Service != r.service || a.Version != r.version || !h.isConnected(a, byID) {
			continue
		}
		unstable := h.lastControlDisturbance(a.At)
		first := slices.IndexFunc(responses, func(b standin.BadResponse) bool { return b.At.After(unstable) })
		if first < 0 || first+49 >= len(responses) {
			continue
		}
		if late := a.At.Sub(responses[first+49].At); late > time.Duration(rolloutBounds.RollbackMs)*time.Millisecond {
			return append(violations, fmt.Sprintf("rollout of %s: %s reached the bad version %s %v after its 50th bad response", r.service, a.Request, r.version, late))
		}
	}
	return violations
}

// checkUnused checks that connected instances send nothing to a version that must not be used any more. An instance
// learns of the end of a rollout within the time that it has for a configuration.
func (h *harness) checkUnused(r *rollout, byID map[string]*request) (violations []string) {
	if r.ended.IsZero() {
		return nil
	}
	for _, a := range h.runLog.Arrivals() {
		if a.Service == r.service && slices.Contains(r.unused, a.Version) && a.At.Sub(r.ended) > applyMs*time.Millisecond && h.isConnected(a, byID) {
			return append(violations, fmt.Sprintf("rollout of %s to %s: %s reached %s of version %s %v after it was %s",
				r.service, r.version, a.Request, a.Target, a.Version, a.At.Sub(r.ended), r.state))
		}
	}
	return violations
}

// isConnected reports whether neither the entry instance that sent a request nor the control group has been disturbed
// for connectedAfter.
func (h *harness) isConnected(a standin.Arrival, byID map[string]*request) bool {
	req := byID[a.Request]
	return req != nil && !h.wasDisturbed(req.entry.name, a.At.Add(-connectedAfter), a.At) && a.At.Sub(h.lastControlDisturbance(a.At)) > connectedAfter
}

// lastControlDisturbance returns when a control instance or its links were last disturbed before a time.
func (h *harness) lastControlDisturbance(before time.Time) (last time.Time) {
	h.disturbedMu.Lock()
	defer h.disturbedMu.Unlock()
	for _, inst := range h.controlInstances() {
		for _, at := range h.disturbed[inst.name] {
			if at.Before(before) && at.After(last) {
				last = at
			}
		}
	}
	return last
}
