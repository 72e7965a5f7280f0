package scheduler

import (
	"time"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/limits"
	"nutmegrouter/internal/schedule"
)

// syncOwnership starts and ends the ownership of pools as the lease reports it, and applies
// a newer view of the configuration.
func (s *Scheduler) syncOwnership(now time.Duration) {
	if s.resigning {
		return
	}
	v := s.fleet.View()
	if v.Config == nil {
		return
	}
	viewChanged := v.Revision != s.revision
	if viewChanged {
		s.revision = v.Revision
		s.setLeasePools(v)
	}
	changed := viewChanged
	for i := range v.Config.Pools {
		pool := v.Config.Pools[i].Name
		started := s.syncPool(pool, now)
		if op := s.owned[pool]; op != nil && (started || viewChanged) {
			s.configure(op, v, &v.Config.Pools[i], now)
		}
		changed = changed || started
	}
	if changed {
		s.endRemoved(v)
		s.updatePollPlan()
		kernel.Signal(s.pollSignal)
		kernel.Signal(s.listSignal)
	}
}

// setLeasePools passes the names of the configured pools to the lease, which seeks their
// ownership.
func (s *Scheduler) setLeasePools(v *api.View) {
	names := make([]string, len(v.Config.Pools))
	for i, p := range v.Config.Pools {
		names[i] = p.Name
	}
	s.lease.SeekOwnership(names)
}

// syncPool starts or ends the ownership of a pool as the lease reports it. It reports
// whether it was started.
func (s *Scheduler) syncPool(pool string, now time.Duration) bool {
	epoch, ok := s.lease.Owns(pool)
	op := s.owned[pool]
	if op != nil && (!ok || op.owner.Epoch() != epoch) {
		s.endOwnership(pool, op)
		op = nil
	}
	if op != nil || !ok {
		return false
	}
	s.owned[pool] = &ownedPool{
		owner:      schedule.NewOwner(pool, epoch, s.dataCentres, now),
		ownedSince: now,
		metrics:    newPoolMetrics(s.kernel.Metrics, pool),
		loadStates: map[string]loadState{},
	}
	s.kernel.Events.Record(kernel.Event{Kind: "sched", Step: "start", Pool: pool, Epoch: epoch})
	return true
}

// endRemoved ends the ownership of pools that are no longer configured.
func (s *Scheduler) endRemoved(v *api.View) {
	for pool, op := range s.owned {
		if _, ok := v.Config.FindPool(pool); !ok {
			s.endOwnership(pool, op)
		}
	}
}

// configure applies the workspaces and targets of a view to an owned pool.
func (s *Scheduler) configure(op *ownedPool, v *api.View, p *fleetconfig.Pool, now time.Duration) {
	weights := make(map[string]float64, len(v.Config.Workspaces))
	for _, w := range v.Config.Workspaces {
		weights[w.Name] = w.Weight
	}
	op.owner.SetWeights(weights)
	var targets []limits.Config
	for _, t := range v.Config.Targets {
		if t.Pool == p.Name {
			targets = append(targets, limits.Config{
				Name: t.Name, DataCentre: t.DataCentre,
				WarmCapacity: t.WarmCapacity, ColdCapacity: t.ColdCapacity,
				WarmthTTL: p.EvidenceLife(), RequestLimit: p.RequestLimit(),
				// The age of a report is its lag plus the duration of the poll.
				ReportLag: p.ReportLag() + pollTimeout,
			})
		}
	}
	l := op.owner.Targets()
	l.Configure(targets, now)
	l.SetOut(v.DataCentresOut, now)
	l.SetLeaving(s.leaving, now)
}

// updatePollPlan sets the targets of the owned pools as those to poll.
func (s *Scheduler) updatePollPlan() {
	plan := &pollPlan{owning: len(s.owned) > 0}
	if v := s.fleet.View(); v.Config != nil {
		for _, t := range v.Config.Targets {
			if s.owned[t.Pool] != nil {
				plan.targets = append(plan.targets, pollTarget{t.Pool, t.Name, t.Address})
			}
		}
	}
	s.plan.Store(plan)
}
