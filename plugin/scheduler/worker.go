package scheduler

import (
	"context"
	"encoding/json"
	"time"

	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/schedule"
)

// maxListWait bounds how long a new owner waits for the platform's list, so that it does
// not grant requests on a target that is leaving.
const maxListWait = 500 * time.Millisecond

// maxBatch is the number of messages after which grants are scheduled again.
const maxBatch = 512

// ownedPool is the state of a pool that this instance owns.
type ownedPool struct {
	owner      *schedule.Owner
	ownedSince time.Duration
	leaseLost  bool
	metrics    *poolMetrics
	loadStates map[string]loadState // newest load reports by target
}

// runWorker is the only goroutine that accesses the scheduling state.
func (s *Scheduler) runWorker(ctx context.Context) error {
	owning := false
	tick := time.NewTicker(tickInterval(owning))
	defer tick.Stop()
	flush := time.NewTimer(time.Hour)
	defer flush.Stop()
	s.wakeWorker()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case in := <-s.inbox.C():
			s.handleBatch(in)
		case <-s.wakeSignal:
			s.syncOwnership(s.now())
		case <-tick.C:
			s.tick(s.now())
		case <-flush.C:
		case done := <-s.handOverRequests:
			s.handOver(s.now())
			close(done)
		}
		if wait := s.scheduleAndSend(s.now()); wait > 0 {
			flush.Reset(wait)
		}
		if owning != (len(s.owned) > 0) {
			owning = !owning
			tick.Reset(tickInterval(owning))
		}
	}
}

// tickInterval returns the interval of ticks. It is long without a pool, because changes of
// ownership wake the worker, and idle wakeups cost processor time on every instance.
func tickInterval(owning bool) time.Duration {
	if owning {
		return activeTickInterval
	}
	return idleTickInterval
}

func (s *Scheduler) now() time.Duration { return s.kernel.Clock.Now() }

// handleBatch handles a message and up to maxBatch more that are queued.
func (s *Scheduler) handleBatch(in input) {
	now := s.now()
	s.handle(in, now)
	for range maxBatch {
		select {
		case in = <-s.inbox.C():
			s.handle(in, now)
		default:
			return
		}
	}
}

func (s *Scheduler) handle(in input, now time.Duration) {
	switch {
	case in.demand != nil:
		if op := s.owned[in.demand.Pool]; op != nil {
			op.owner.Demand(in.from, in.demand, now)
		}
	case in.report != nil:
		if op := s.owned[in.report.Pool]; op != nil {
			op.owner.Report(in.from, in.report, now)
		}
	case in.load != nil:
		s.onLoad(in.load, now)
	case in.list != nil:
		s.onList(in.list, now)
	}
}

// scheduleAndSend makes all grants that are possible and sends them. If the last batch was
// sent less than minFlushInterval ago, it returns the time to wait instead of sending.
func (s *Scheduler) scheduleAndSend(now time.Duration) time.Duration {
	pending := false
	for _, op := range s.owned {
		if s.listReadAt >= op.ownedSince || now-op.ownedSince >= maxListWait || s.kernel.Settings.PlatformList == "" {
			op.owner.Schedule(now)
		}
		pending = pending || op.owner.Pending()
	}
	if !pending {
		return 0
	}
	if wait := minFlushInterval - (now - s.flushedAt); wait > 0 {
		return wait
	}
	s.flushedAt = now
	for pool, op := range s.owned {
		s.flush(op)
		if op.leaseLost {
			s.endOwnership(pool, op)
		}
	}
	return 0
}

// flush sends the messages of one pool. Ownership is checked again right before
// each message, because the lease may have run out since the decision.
func (s *Scheduler) flush(op *ownedPool) {
	op.owner.Flush(func(to string, m *schedule.GrantMsg) bool {
		if epoch, ok := s.lease.Owns(op.owner.Pool()); !ok || epoch != op.owner.Epoch() {
			op.leaseLost = true
			return false
		}
		if to == s.mesh.Self() {
			s.client.Grant(to, m)
			return true
		}
		return s.notify(to, schedule.MethodGrant, m) == nil
	})
}

// notify sends a message to an instance. It encodes the message before it is queued,
// because the buffers of the message are reused after the call.
func (s *Scheduler) notify(to, method string, m json.Marshaler) error {
	raw, err := m.MarshalJSON()
	if err != nil {
		return err
	}
	return s.mesh.Notify(to, method, json.RawMessage(raw))
}

func (s *Scheduler) tick(now time.Duration) {
	s.syncOwnership(now)
	for pool, op := range s.owned {
		op.owner.Tick(now, s.mayHoldLease)
		s.recordEvents(pool, op)
	}
	if now-s.urgentPlannedAt >= urgentPollInterval {
		s.urgentPlannedAt = now
		s.planUrgent()
	}
	if now-s.publishedAt >= publishInterval {
		s.publishedAt = now
		for _, op := range s.owned {
			s.sendService(op, false)
			op.metrics.publish(op.owner)
		}
		s.publishStates()
	}
}

func (s *Scheduler) mayHoldLease(instance string) bool {
	return instance == s.mesh.Self() || s.lease.MayHoldLease(instance)
}

// sendService sends the virtual service table of a pool to all instances if it has changed.
// The table has all accounts if all is set, else those in use.
func (s *Scheduler) sendService(op *ownedPool, all bool) {
	m := &s.serviceMsg
	if !op.owner.ServiceTable(m, all) {
		return
	}
	for _, peer := range s.mesh.Peers() {
		if err := s.notify(peer, schedule.MethodServiceTable, m); err != nil {
			op.metrics.serviceLost.Inc()
		}
	}
	s.client.Service(s.mesh.Self(), m)
}

// handOver makes the last grants of each owned pool, sends them and the whole virtual service
// table, and ends the ownership. No pool is owned again afterwards.
func (s *Scheduler) handOver(now time.Duration) {
	s.resigning = true
	for pool, op := range s.owned {
		op.owner.Schedule(now)
		s.flush(op)
		s.sendService(op, true)
		s.endOwnership(pool, op)
	}
	s.plan.Store(&pollPlan{})
}

// endOwnership publishes the last metrics of a pool that this instance no longer owns and
// discards its state.
func (s *Scheduler) endOwnership(pool string, op *ownedPool) {
	op.metrics.publish(op.owner)
	delete(s.owned, pool)
	s.kernel.Events.Record(kernel.Event{Kind: "sched", Step: "end", Pool: pool, Epoch: op.owner.Epoch()})
	s.updatePollPlan()
}

// recordEvents records the state changes of a pool as kernel events.
func (s *Scheduler) recordEvents(pool string, op *ownedPool) {
	for _, n := range op.owner.Changes() {
		s.kernel.Events.Record(kernel.Event{
			Kind: "sched", Step: n.Step, Pool: pool, Epoch: op.owner.Epoch(),
			Peer: n.Peer, Target: n.Target, Detail: n.Detail,
		})
	}
}
