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

// signalSend wakes sendLoop to send the pending message.
func (p *Placer) signalSend() { kernel.Signal(p.sendSignal) }

// sendLoop sends the pending message whenever it has content.
func (p *Placer) sendLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.sendSignal:
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
	p.pending = placewire.EntryMessage{}
	if p.owner.name == "" {
		p.pending.AddCrashes(u)
	} else {
		p.addStarts(&u)
	}
	owner := p.owner
	p.mu.Unlock()
	if owner.name == "" {
		return true
	}
	u.Term, u.DataCentre = owner.term, p.dataCentre
	if err := p.mesh.Notify(owner.name, placewire.MethodUp, u); err != nil {
		p.log.Debug("report to the owner not sent", "step", "owner", "peer", owner.name, "error", err)
		p.mu.Lock()
		p.pending.AddRefusals(u, maxPendingRefusals)
		p.pending.AddCrashes(u)
		p.queueFullReport()
		p.mu.Unlock()
		return false
	}
	return true
}
