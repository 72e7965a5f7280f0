package placement

import (
	"slices"
	"time"

	"nutmegrouter/internal/api"
)

// Splitter divides the requests of a service whose rollout runs between the new version and the others.
type Splitter interface {
	// Choose counts a request that is about to be placed, and reports whether it is to go to the new version.
	Choose(route string, now time.Duration) (newVersion bool)
	// IsCanary reports whether a target of the new version may get requests now.
	IsCanary(targetID string) bool
	// HasMoved reports whether all requests are to go to the new version. Then requests wait for its targets;
	// before, a request for which none has room goes to another one.
	HasMoved() bool
	// RecordGrant counts a grant to the new version, which follows a call of Choose.
	RecordGrant(now time.Duration)
}

// rolloutRefreshInterval is how often the targets that may get requests of the new version are determined.
const rolloutRefreshInterval = 10 * time.Millisecond

// serviceRollout is a running rollout of a service.
type serviceRollout struct {
	started  uint64
	splitter Splitter // nil = nothing goes to the new version
	// newTargets are the usable targets of the new version, by ID; granting are those of them that may get
	// requests now.
	newTargets, granting []*target
	oldPrefillRate       float64 // mean of the targets of other versions, in prompt tokens per millisecond
	refreshedAt          time.Duration
	moved                bool // as Splitter.HasMoved when the queued requests were last decided on
}

// SetSplitter sets what divides the requests of a service while its rollout that started at a revision runs; nil =
// nothing goes to the new version. It is kept until the rollout of the view is another one.
func (o *Owner) SetSplitter(service string, started uint64, s Splitter, now time.Duration) {
	if r := o.rollouts[service]; r != nil && r.started == started {
		r.splitter = s
		o.refreshRollout(service, r, now)
		r.refreshedAt = now - rolloutRefreshInterval // the next Tick decides on queued requests
	}
}

// UnderRollout reports whether a rollout of a service runs and targets of other versions are listed.
func (o *Owner) UnderRollout(service string) bool { return o.rollouts[service] != nil }

// hasMovedTo reports whether a service has moved to a version by its newest rollout. Grants on it are then marked like
// those during the rollout, because the entry instance may not have received the end of it yet.
func (o *Owner) hasMovedTo(service, version string) bool {
	r, ok := o.view.Rollouts[service]
	return ok && r.State == api.RolloutSucceeded && r.Version == version
}

// CanUse reports whether the owner may grant a target now. Targets of plain services, of which it has no model,
// can always be used.
func (o *Owner) CanUse(targetID string, now time.Duration) bool {
	t := o.targets[targetID]
	return t == nil || o.inService(t) && t.health.suspectUntil <= now && t.pausedUntil <= now
}

// applyRollouts assigns the targets to the versions of the view's rollouts. It returns the targets that have
// changed sides.
func (o *Owner) applyRollouts() (changed map[*target]bool) {
	rollouts := map[string]*serviceRollout{}
	for _, info := range o.view.Targets {
		r, known := o.view.Rollouts[info.Service]
		if !known || r.State != api.RolloutRunning || info.Version == r.Version || rollouts[info.Service] != nil {
			continue
		}
		// A service without a target of another version has nothing to move.
		s := o.rollouts[info.Service]
		if s == nil || s.started != r.Started {
			s = &serviceRollout{started: r.Started, oldPrefillRate: initialPrefillRate}
		}
		rollouts[info.Service] = s
	}
	// A service that has lost all targets of other versions stays under its rollout: the new version may be bad.
	for service, s := range o.rollouts {
		if r := o.view.Rollouts[service]; r.State == api.RolloutRunning && r.Started == s.started {
			rollouts[service] = s
		}
	}
	o.rollouts = rollouts
	changed = map[*target]bool{}
	for _, t := range o.sortedTargets {
		r, known := o.view.Rollouts[t.info.Service]
		isNew := rollouts[t.info.Service] != nil && t.info.Version == r.Version
		if isNew != t.isNew {
			changed[t] = true
		}
		t.isNew, t.excluded = isNew, known && r.Excludes(t.info.Version)
	}
	return changed
}

// refreshRollouts determines which targets may get requests of new versions, and decides anew on the queued
// requests of services that have just moved, or whose move has ended.
func (o *Owner) refreshRollouts(now time.Duration) {
	for service, r := range o.rollouts {
		if now-r.refreshedAt < rolloutRefreshInterval {
			continue
		}
		o.refreshRollout(service, r, now)
		moved := r.splitter != nil && r.splitter.HasMoved()
		if moved == r.moved {
			continue
		}
		r.moved = moved
		for _, t := range o.sortedTargets {
			if t.info.Service == service {
				o.redecidePending(t, now)
			}
		}
	}
}

// refreshRollout refreshes one rollout. It visits the targets of the service, so it runs at intervals and not for
// each request.
func (o *Owner) refreshRollout(service string, r *serviceRollout, now time.Duration) {
	r.refreshedAt = now
	granting := r.granting[:0:0]
	if r.splitter != nil {
		for _, t := range r.newTargets {
			if r.splitter.IsCanary(t.info.ID) {
				granting = append(granting, t)
			}
		}
	}
	if !slices.Equal(granting, r.granting) {
		r.granting = granting
		clear(o.affinity)
	}
	sum, n := 0.0, 0
	for _, t := range o.usable[service] {
		sum += t.prefillRate
		n++
	}
	if n > 0 {
		r.oldPrefillRate = sum / float64(n)
	}
}

// targetsFor returns the targets of a service that a request may use at the moment: those that serve the requests
// of the new version, or the others.
func (o *Owner) targetsFor(service string, newVersion bool) []*target {
	if !newVersion {
		return o.usable[service]
	}
	if r := o.rollouts[service]; r != nil {
		return r.granting
	}
	return nil
}

// serves reports whether a target in service may be used for a request, by its version.
func (o *Owner) serves(t *target, w *work) bool {
	if t.isNew != w.newVersion {
		return false
	}
	if !t.isNew {
		return true
	}
	r := o.rollouts[t.info.Service]
	return r != nil && r.splitter != nil && r.splitter.IsCanary(t.info.ID)
}

// choosesNewVersion counts a request that is about to be placed, and reports whether it goes to the new version.
// It asks once for each request. A request without a route is of an entry instance that does not know of the
// rollout, and would report no evidence.
func (o *Owner) choosesNewVersion(r *serviceRollout, w *work, now time.Duration) bool {
	if w.splitAsked || w.request.Route == "" || r.splitter == nil {
		return false
	}
	w.splitAsked = true
	return r.splitter.Choose(w.request.Route, now)
}

// decideMoved grants a request a target of the new version or queues it for one, if all requests of its service
// are to go there. It reports false if none can be used, or none in time; then the request goes to a target of
// another version.
func (o *Owner) decideMoved(w *work, now time.Duration) bool {
	w.newVersion = false
	r := o.rollouts[w.request.Service]
	if r == nil || r.splitter == nil || w.splitAsked || w.request.Route == "" || !r.splitter.HasMoved() {
		return false
	}
	w.newVersion = true
	c, _ := o.choose(w, now)
	if c.target != nil && c.score < suspectPenalty && !w.missesObjective(c.firstEventAfter, now) {
		if code := o.refusalCode(w, c, now); code != "" { // its share is the same on all targets
			o.refuse(w, c, code, c.wait, now)
			return true
		}
		if c.wait > 0 {
			c.target.addPending(w, c.uncached)
			w.reviewedAt = now
			o.numPending++
			return true
		}
		if o.grant(w, c, now) {
			return true
		}
	}
	w.newVersion = false
	return false
}

// split is called before a request is granted a target. If it is to go to the new version and one of the targets
// of that can start it now, split returns that one instead. It reports false if the target is of the new version
// and the request may not go there.
func (o *Owner) split(w *work, c candidate, now time.Duration) (candidate, bool) {
	r := o.rollouts[w.request.Service]
	if r == nil {
		return c, true
	}
	chosen := o.choosesNewVersion(r, w, now)
	if w.newVersion {
		return c, chosen
	}
	if !chosen {
		return c, true
	}
	w.newVersion = true
	if n, _ := o.choose(w, now); n.target != nil && n.wait == 0 && n.score < suspectPenalty {
		return n, true
	}
	w.newVersion = false
	return c, true
}

// expectedFirstEvent returns the time from the send until the first event that is expected of a request on a
// target at the mean prefill rate of the versions before. A slow version would hide in its own rate. It must be
// called before the request is started.
func (r *serviceRollout) expectedFirstEvent(t *target, uncached int, now time.Duration) time.Duration {
	tokens, first := float64(uncached), true
	for _, w := range t.prefillQueue {
		if w.overtaken {
			continue
		}
		n := float64(w.uncached)
		if first {
			first = false
			n -= min(maxHeadProgress*n, (now-max(w.sentAt, t.lastFirstEventAt)).Seconds()*1e3*r.oldPrefillRate)
		}
		tokens += n
	}
	return baseLatency + time.Duration(tokens/r.oldPrefillRate*float64(time.Millisecond))
}
