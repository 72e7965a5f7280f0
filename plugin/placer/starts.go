package placer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/logqueue"
	"nutmegrouter/internal/placement"
	"nutmegrouter/internal/placewire"
)

// ackInterval is the time since the last message to the owner after which a message of the owner is
// acknowledged at once.
const ackInterval = 50 * time.Millisecond

// ownerContact is when this instance has been in contact with owners.
type ownerContact struct {
	heard    bool          // some owner has responded since the process started
	heardAt  time.Duration // when the last message of an owner arrived
	newestAt time.Duration // when the newest message of the present owner arrived
	sentAt   time.Duration // when the last message was sent to one
	shareDue bool          // the next message reports the starts

	// provenAt is when a message was sent that an owner has answered. One message at a time is tracked.
	provenAt      kernel.ClockReading
	sampleSent    time.Duration // 0 = none
	sampleReading kernel.ClockReading
}

// addStarts completes a message that is sent to the owner now. The lock must be held.
func (p *Placer) addStarts(u *placewire.EntryMessage) {
	now, c := p.clock.Now(), &p.contact
	c.sentAt = now
	u.Sent, u.Heard, u.HeardAgo, u.Follows = int64(now), p.owner.sent, int64(now-c.newestAt), p.starts.Follows()
	if c.sampleSent == 0 {
		c.sampleSent, c.sampleReading = now, p.readClocks()
	}
	if c.shareDue {
		c.shareDue = false
		p.owner.shareSentAt = now
		p.expireStarts()
		u.Share = placewire.NewStartShare(p.starts.Report(now))
	}
}

// recordContact records a message of the owner that was sent at sent on the owner's clock and answers
// those of this instance until echo. If the owner knows this instance's starts, it follows the owner from
// now on. The lock must be held.
func (p *Placer) recordContact(sent int64, echo, now time.Duration) {
	c := &p.contact
	c.heard, c.heardAt = true, now
	if sent > p.owner.sent {
		p.owner.sent, c.newestAt = sent, now
	}
	if c.sampleSent > 0 && echo >= c.sampleSent {
		c.provenAt, c.sampleSent = c.sampleReading, 0
	}
	switch {
	case sent == 0: // an owner of a version that counts no parts
		c.provenAt = p.readClocks()
		p.starts.Cede()
	case !p.starts.Follows() && p.owner.shareSentAt > 0 && echo >= p.owner.shareSentAt:
		p.starts.Cede()
		c.shareDue = true
		p.signalSend()
	}
	if now-c.sentAt >= ackInterval {
		p.signalSend()
	}
}

// keepStarts makes this instance keep its part of the start limits, because it places requests itself or
// has another owner. The lock must be held.
func (p *Placer) keepStarts() {
	if p.starts.Follows() {
		p.starts.Keep(p.contact.heardAt)
		p.owner.shareSentAt = 0
	}
	p.expireStarts()
}

// expireStarts ends this instance's part of the start limits if its last contact with an owner is too
// long ago. The lock must be held.
func (p *Placer) expireStarts() {
	if since := p.readClocks().Since(p.contact.provenAt); since > placement.OwnerlessTime && p.starts.Expire() {
		logqueue.Notice(p.log, "part of the start limits has ended", "step", "owner", "since_ms", since.Milliseconds())
	}
}

// offerShare reports the starts to the owner if this instance does not follow it. The lock must be held.
func (p *Placer) offerShare(now time.Duration) {
	if !p.starts.Follows() && (p.owner.shareSentAt == 0 || now-p.owner.shareSentAt >= ownerRetryDelay) {
		p.contact.shareDue = true
	}
}

// recordStart counts a model request as a start on its target. The lock must be held.
func (p *Placer) recordStart(a *assignment) {
	a.countedAt = a.startedAt
	p.starts.Record(a.target.ID, a.countedAt)
}

// countSend counts a send as a start at its time. The first one replaces the start that was counted when
// the target was chosen.
func (a *assignment) countSend() {
	if a.work.Engine == nil {
		return
	}
	p := a.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.countedAt < 0 {
		p.starts.Record(a.target.ID, a.sentAt)
		return
	}
	p.starts.RecordSent(a.target.ID, a.countedAt, a.sentAt)
	a.countedAt = -1
}

// awaitStarts waits once for room within this instance's part of the start limits, which begins after the
// owner's lease, or for another owner. The error is that of the context.
func (p *Placer) awaitStarts(ctx context.Context) error {
	t := time.NewTimer(placement.FollowLease)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// isStartsReached reports whether a request was refused for lack of room within this instance's part of
// the start limits.
func isStartsReached(err error) bool {
	var refusal *api.Refusal
	return errors.As(err, &refusal) && refusal.Code == placement.CodeStartsReached
}
