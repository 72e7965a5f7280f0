package owner

import (
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/logqueue"
	"nutmegrouter/internal/placement"
	"nutmegrouter/internal/placewire"
)

const (
	// linkSettleTime is how long after its start a control instance waits for links to entry instances
	// before it takes those that it knows for all.
	linkSettleTime = 400 * time.Millisecond
	// endedProcessTime is how long after the loss of a link the starts of a process that has ended may
	// still count.
	endedProcessTime = time.Second
	// maxHeardAgo is the longest time since an entry instance heard the owner from which the time of its
	// message is derived.
	maxHeardAgo = 10 * time.Second
	// maxTransit is the longest time that a message and the one that it answers take on open links: a
	// link counts as lost after 1.7 s of silence.
	maxTransit = 2 * 1700 * time.Millisecond
	// contactTime is how long after it was active an entry instance gets heartbeats.
	contactTime = time.Second
)

// peer is what this instance knows of an entry instance, whether it is the owner or not.
type peer struct {
	incarnation string // of the process, as its link tells
	process     string // of the process, as its full report tells
	linked      bool
	changedAt   time.Duration // of linked
	echo        int64         // newest placewire.EntryMessage.Sent that was applied
	sentAt      time.Duration // of the last message to it that acknowledges one
	activeAt    time.Duration // of the last message from it that held more than an acknowledgement
	lateness    time.Duration // how long after it was sent the newest message was applied
}

// recordLink applies a change of a link. The starts of an earlier process of the entry instance end with
// it.
func (o *Owner) recordLink(c api.LinkChange) {
	if c.HasControlReplica {
		return
	}
	p, known := o.peers[c.Peer]
	if c.Up && known && p.incarnation != c.Incarnation {
		p.echo = 0
		if o.term != 0 {
			o.state.ForgetStarts(c.Peer, o.clock.Now())
		}
	}
	if !c.Up && !known {
		return // it is a control instance
	}
	p.linked, p.changedAt = c.Up, o.clock.Now()
	if !c.Up {
		o.settledAt = max(o.settledAt, p.changedAt+endedProcessTime)
	}
	if c.Up {
		p.incarnation = c.Incarnation
	}
	o.peers[c.Peer] = p
}

// knownEntries returns the entry instances that may have a part of the start limits: those that are
// linked, and those whose links were lost a short time ago.
func (o *Owner) knownEntries(now time.Duration) []string {
	var out []string
	for name, p := range o.peers {
		if !p.linked && now-p.changedAt > placement.OwnerlessTime {
			delete(o.peers, name)
			continue
		}
		out = append(out, name)
	}
	return out
}

// recordHeard records that a message of an entry instance has arrived, and reports whether no later one of
// the same process has overtaken it. A full report may be the first message of another process.
func (o *Owner) recordHeard(from string, u *placewire.EntryMessage, lateness, now time.Duration) (newest bool) {
	if u.Sent == 0 {
		return false // it is of a version that reports no starts
	}
	p := o.peers[from]
	if !u.IsAck() {
		p.activeAt = now
	}
	if u.FullReport && u.Process != p.process {
		if p.process != "" {
			o.state.ForgetStarts(from, now)
		}
		p.process, p.echo = u.Process, 0
	}
	newest = u.Sent >= p.echo
	o.state.RecordHeard(from, u.Follows, time.Duration(u.Heard), time.Duration(u.HeardAgo), now)
	if !newest {
		o.peers[from] = p
		return false
	}
	p.lateness = lateness
	if u.FullReport {
		delete(o.reportsDue, from)
	}
	if u.FullReport || !o.lacksMessages(from) { // otherwise the message that is acknowledged may be the dropped one
		p.echo = u.Sent
	}
	o.peers[from] = p
	return true
}

// lateness returns how long ago a message that was received at a time was sent. The entry instance says
// how long before it had received one of this owner's messages; the way of that one counts as well. If that
// was long ago, the clocks have drifted apart; if the way took too long, the entry instance was suspended.
func lateness(u *placewire.EntryMessage, received, now time.Duration) time.Duration {
	waited, ago := now-received, max(0, time.Duration(u.HeardAgo))
	if u.Heard <= 0 || ago > maxHeardAgo {
		return waited
	}
	sent := time.Duration(u.Heard) + ago
	if received-sent > maxTransit {
		return waited
	}
	return max(waited, now-sent)
}

// idlePeers returns the entry instances that have been active within contactTime, were sent no message within
// heartbeatInterval, and would otherwise take a slow owner for a lost one.
func (o *Owner) idlePeers(now time.Duration) (out []string) {
	for name, p := range o.peers {
		if p.activeAt > 0 && now-p.activeAt < contactTime && now-p.sentAt >= heartbeatInterval {
			out = append(out, name)
		}
	}
	return out
}

// stamp adds to a message when it is sent and which message of the entry instance it acknowledges.
func (o *Owner) stamp(entry string, d *placewire.OwnerMessage, now time.Duration) {
	p := o.peers[entry]
	p.sentAt = now
	o.peers[entry] = p
	d.Sent, d.Echo, d.LatenessMs = int64(now), p.echo, p.lateness.Milliseconds()
}

// logTakeover logs the end of the takeover.
func (o *Owner) logTakeover(now time.Duration) {
	if !o.takingOver {
		return
	}
	missing, more := o.state.MissingReports()
	if o.takingOver = o.state.TakingOver(now); !o.takingOver {
		logqueue.Notice(o.log, "starts taken over", "step", "owner", "term", o.term, "after_ms", (now - o.ownedSince).Milliseconds(), "missing", missing, "missing_unknown", more)
	}
}
