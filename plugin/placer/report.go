package placer

import (
	"context"
	"time"

	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/placewire"
)

// queueFullReport replaces the pending message by a full report of the waiting and running
// requests, with the lists of the last owner. Refused and shed requests, which are part of the demand,
// crashes and answers to suspect requests stay in it. The lock must be held.
func (p *Placer) queueFullReport() {
	now := p.clock.Now()
	p.notices.ResetReports()
	p.pending = placewire.EntryMessage{FullReport: true, Process: p.process, Refused: p.pending.Refused, Shed: p.pending.Shed,
		Crashes: p.pending.Crashes, AnsweredSuspects: p.pending.AnsweredSuspects,
		Blocked: placewire.NewBlockedParts(p.blocked.Parts(now)), Suspects: placewire.NewSuspects(p.suspects.Requests(now))}
	if p.contact.heard {
		p.pending.Entries = p.topology.EntryCount()
	}
	p.contact.shareDue = true
	for _, n := range p.notices.List(now) {
		p.pending.Notices = append(p.pending.Notices, placewire.NewNotice(n))
	}
	for _, a := range p.running {
		p.pending.Running = append(p.pending.Running, a.report(now))
	}
	for n, wt := range p.waiting {
		p.pending.Requests = append(p.pending.Requests, wt.request(n, now))
	}
	p.signalSend()
}

const (
	// lazyDelay is how long content that nobody waits for may wait for other content.
	lazyDelay = 30 * time.Millisecond
	// minLateness is the lateness of the owner from which messages are merged, maxSendInterval the
	// longest time between two messages.
	minLateness     = 10 * time.Millisecond
	maxSendInterval = 250 * time.Millisecond
	// latenessLifetime is how long what the owner has said of its lateness holds.
	latenessLifetime = time.Second
)

// signalSend has sendLoop send the pending message as soon as the owner's lateness allows. The lock must
// be held.
func (p *Placer) signalSend() { p.signalSendWithin(0) }

// signalSendWithin has sendLoop send the pending message within a time, or later if the owner is late. The
// lock must be held.
func (p *Placer) signalSendWithin(d time.Duration) {
	if at := p.clock.Now() + d; p.sendDueAt < 0 || at < p.sendDueAt {
		p.sendDueAt = at
		kernel.Signal(p.sendSignal)
	}
}

// sendInterval returns the time between two messages to the owner. An owner that is late gets one message
// of each entry instance in the time that it takes to apply one, so that what waits at the owner is
// bounded by the number of instances, and it spends its time on requests and not on messages.
func (o *ownerState) sendInterval(now time.Duration) time.Duration {
	if o.lateness < minLateness || now-o.latenessAt > latenessLifetime {
		return 0
	}
	return min(o.lateness, maxSendInterval)
}

// sendWait returns the time until the pending message is due; false = nothing is pending.
func (p *Placer) sendWait() (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sendDueAt < 0 {
		return 0, false
	}
	now := p.clock.Now()
	return max(p.sendDueAt, p.contact.sentAt+p.owner.sendInterval(now)) - now, true
}

// sendLoop sends the pending message whenever it is due.
func (p *Placer) sendLoop(ctx context.Context) error {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.sendSignal:
		case <-t.C:
		}
		wait, due := p.sendWait()
		if !due {
			continue
		}
		if wait > 0 {
			t.Reset(wait)
			continue
		}
		if p.sendPending() {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(resendDelay):
		}
	}
}

// sendPending sends the pending message to the owner. Without an owner the message is
// dropped, because the next owner receives a full report. It reports false if the message
// could not be sent; a full report is pending then.
func (p *Placer) sendPending() bool {
	p.mu.Lock()
	u := p.pending
	p.pending, p.sendDueAt = placewire.EntryMessage{}, -1
	u.Requests = p.takeRequests(u.Requests)
	if p.owner.name == "" {
		p.pending.AddCrashes(u)
	} else {
		p.addStarts(&u)
		p.addEvidence(&u)
	}
	owner, now := p.owner, p.clock.Now()
	p.mu.Unlock()
	if owner.name == "" {
		return true
	}
	refused := u.Refused
	u.Refused = placewire.RefusedAfter(refused, now)
	u.Term, u.DataCentre = owner.term, p.dataCentre
	if err := p.mesh.Notify(owner.name, placewire.MethodUp, u); err != nil {
		p.log.Debug("report to the owner not sent", "step", "owner", "peer", owner.name, "error", err)
		u.Refused = refused
		p.mu.Lock()
		p.pending.AddRefusals(u, maxPendingRefusals)
		p.pending.AddCrashes(u)
		p.queueFullReport()
		p.mu.Unlock()
		return false
	}
	return true
}

// takeRequests returns those of the pending requests that still wait, with the times that are left to
// them, and marks them as sent. The lock must be held.
func (p *Placer) takeRequests(pending []placewire.Request) []placewire.Request {
	now := p.clock.Now()
	var out []placewire.Request
	for i := range pending {
		if wt := p.waiting[pending[i].Number]; wt != nil {
			wt.sent = true
			out = append(out, wt.request(pending[i].Number, now))
		}
	}
	return out
}
