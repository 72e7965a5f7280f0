package scheduler

import (
	"context"
	"encoding/json"
	"time"

	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/schedule"
)

// listWait bounds how long a new owner waits for the platform's list, so that
// it grants nothing on a target that is known to leave.
const listWait = 500 * time.Millisecond

// batchLimit bounds the messages handled between two rounds of grants.
const batchLimit = 512

// run is one owned pool.
type run struct {
	owner  *schedule.Owner
	since  time.Duration
	ended  bool
	counts *counters
	loads  map[string]loadState // newest load reports by target
}

// work is the worker that owns all scheduling state.
func (s *Scheduler) work(ctx context.Context) error {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	flush := time.NewTimer(time.Hour)
	defer flush.Stop()
	s.kick()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case in := <-s.in.C():
			s.handleBatch(in)
		case <-s.wake:
			s.syncOwnership(s.now())
		case <-tick.C:
			s.tick(s.now())
		case <-flush.C:
		case done := <-s.stop:
			s.handOver(s.now())
			close(done)
		}
		if wait := s.round(s.now()); wait > 0 {
			flush.Reset(wait)
		}
	}
}

func (s *Scheduler) now() time.Duration { return s.kernel.Clock.Now() }

func (s *Scheduler) handleBatch(in input) {
	now := s.now()
	s.handle(in, now)
	for range batchLimit {
		select {
		case in = <-s.in.C():
			s.handle(in, now)
		default:
			return
		}
	}
}

func (s *Scheduler) handle(in input, now time.Duration) {
	switch {
	case in.demand != nil:
		if r := s.runs[in.demand.Pool]; r != nil {
			r.owner.Demand(in.from, in.demand, now)
		}
	case in.report != nil:
		if r := s.runs[in.report.Pool]; r != nil {
			r.owner.Report(in.from, in.report, now)
		}
	case in.load != nil:
		s.onLoad(in.load, now)
	case in.list != nil:
		s.onList(in.list, now)
	}
}

// round grants what can be granted and sends it. If the last batch is too young
// it returns the time to wait.
func (s *Scheduler) round(now time.Duration) time.Duration {
	pending := false
	for _, r := range s.runs {
		if s.listed >= r.since || now-r.since >= listWait || s.kernel.Settings.PlatformList == "" {
			r.owner.Schedule(now)
		}
		pending = pending || r.owner.Pending()
	}
	if !pending {
		return 0
	}
	if wait := flushEvery - (now - s.flushed); wait > 0 {
		return wait
	}
	s.flushed = now
	for pool, r := range s.runs {
		s.flush(r)
		if r.ended {
			s.end(pool, r)
		}
	}
	return 0
}

// flush sends the messages of one pool. Ownership is checked again right before
// each message, because the lease may have run out since the decision.
func (s *Scheduler) flush(r *run) {
	r.owner.Flush(func(to string, m *schedule.GrantMsg) bool {
		if epoch, ok := s.lease.Holds(r.owner.Pool()); !ok || epoch != r.owner.Epoch() {
			r.ended = true
			return false
		}
		if to == s.mesh.Self() {
			s.client.Grant(to, m)
			return true
		}
		return s.notify(to, schedule.MethodGrant, m) == nil
	})
}

// notify encodes the message before it is queued, because its buffers are used
// again after the call.
func (s *Scheduler) notify(to, method string, m json.Marshaler) error {
	raw, err := m.MarshalJSON()
	if err != nil {
		return err
	}
	return s.mesh.Notify(to, method, json.RawMessage(raw))
}

func (s *Scheduler) tick(now time.Duration) {
	s.syncOwnership(now)
	for pool, r := range s.runs {
		r.owner.Tick(now, s.mayHold)
		s.record(pool, r)
	}
	if now-s.urgentAt >= urgentEvery {
		s.urgentAt = now
		s.planUrgent()
	}
	if now-s.served >= second {
		s.served = now
		for _, r := range s.runs {
			s.sendService(r, false)
			r.counts.publish(r.owner)
		}
		s.publishStates()
	}
}

func (s *Scheduler) mayHold(instance string) bool {
	return instance == s.mesh.Self() || s.lease.MayHoldLease(instance)
}

func (s *Scheduler) sendService(r *run, all bool) {
	m := &s.service
	if !r.owner.Service(m, all) {
		return
	}
	for _, peer := range s.mesh.Peers() {
		if err := s.notify(peer, schedule.MethodService, m); err != nil {
			r.counts.serviceLost.Inc()
		}
	}
	s.client.Service(s.mesh.Self(), m)
}

// handOver ends all ownership after the routers were sent the whole table.
func (s *Scheduler) handOver(now time.Duration) {
	s.resigning = true
	for pool, r := range s.runs {
		r.owner.Schedule(now)
		s.flush(r)
		s.sendService(r, true)
		s.end(pool, r)
	}
	s.polled.Store(&pollPlan{})
}

func (s *Scheduler) end(pool string, r *run) {
	r.counts.publish(r.owner)
	delete(s.runs, pool)
	s.kernel.Events.Record(kernel.Event{Kind: "sched", Step: "end", Pool: pool, Epoch: r.owner.Epoch()})
	s.plan()
}

// record moves the owner's changes of state to the timeline.
func (s *Scheduler) record(pool string, r *run) {
	for _, n := range r.owner.Notes() {
		s.kernel.Events.Record(kernel.Event{
			Kind: "sched", Step: n.Step, Pool: pool, Epoch: r.owner.Epoch(),
			Peer: n.Peer, Target: n.Target, Detail: n.Detail,
		})
	}
}
