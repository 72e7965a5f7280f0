package owner

import (
	"encoding/json"
	"time"

	"nutmegrouter/internal/logqueue"
	"nutmegrouter/internal/placement"
	"nutmegrouter/internal/placewire"
)

// broadcast tracks which version of a list each entry instance was sent.
type broadcast struct {
	sent    map[string]uint64 // version by entry instance; 0 = the empty list, of which it need not be told
	due     bool              // one of them may lack the version
	version uint64
}

func newBroadcast() broadcast { return broadcast{sent: map[string]uint64{}} }

// add makes an entry instance due to be sent the current list.
func (b *broadcast) add(entry string) { b.sent[entry], b.due = 0, true }

// next returns the entry instances that lack a version, and takes them as sent it.
func (b *broadcast) next(version uint64) (entries []string) {
	if !b.due && version == b.version {
		return nil
	}
	b.due, b.version = false, version
	for entry, sent := range b.sent {
		if sent != version {
			entries = append(entries, entry)
			b.sent[entry] = version
		}
	}
	return entries
}

// addBlockedParts adds the blocked prompt parts to the messages of the entry instances that do
// not have the current version of them, and logs those that are new.
func (o *Owner) addBlockedParts(to func(entry string) *placewire.OwnerMessage, now time.Duration) {
	for _, part := range o.state.NewlyBlocked() {
		o.blocks.Inc()
		logqueue.Notice(o.log, "prompt part blocked: targets crash with it", "step", "crash", "part", uint64(part))
	}
	entries := o.blockedParts.next(o.state.BlockedVersion())
	if len(entries) == 0 {
		return
	}
	message := placewire.NewBlockedParts(o.state.BlockedParts(now))
	for _, entry := range entries {
		to(entry).Blocked = &message
	}
}

// addSuspects adds the suspect requests to the messages of the entry instances that do not have the
// current version of them.
func (o *Owner) addSuspects(to func(entry string) *placewire.OwnerMessage, now time.Duration) {
	if now-o.suspectsSentAt < suspectsInterval && o.suspectsSentAt > 0 {
		return
	}
	for _, entry := range o.suspects.next(o.state.SuspectVersion()) {
		o.suspectsDue[entry] = true
	}
	if len(o.suspectsDue) == 0 {
		return
	}
	raw, err := json.Marshal(placewire.NewSuspects(o.state.SuspectRequests(now)))
	if err != nil {
		o.log.Error("suspect requests not encoded", "step", "crash", "error", err)
		return
	}
	o.suspectsSentAt = now
	for entry := range o.suspectsDue {
		to(entry).Suspects = raw
	}
	clear(o.suspectsDue)
}

// addLimits adds the rate limits of targets to the messages: all to the entry instances that have sent a
// full report, the changes to the others.
func (o *Owner) addLimits(to func(entry string) *placewire.OwnerMessage, now time.Duration) {
	if len(o.limitsDue) > 0 {
		if all := o.encodeLimits(o.state.Limits(now)); all != nil {
			for entry := range o.limitsDue {
				to(entry).Limits = all
			}
		}
		clear(o.limitsDue)
		return // the changes follow with the next message
	}
	if now-o.limitsSentAt < limitsInterval {
		return
	}
	changed := o.state.ChangedLimits(now)
	if len(changed) == 0 {
		return
	}
	o.limitsSentAt = now
	for _, n := range changed {
		logqueue.Notice(o.log, "rate limit of a target", "step", "limit", "target", n.Target, "limited", n.Limit.Limited, "per_second", n.Limit.PerSecond)
	}
	encoded := o.encodeLimits(changed)
	for entry := range o.entries {
		to(entry).Limits = encoded
	}
}

// encodeLimits returns rate limits as they are sent to entry instances, nil without any.
func (o *Owner) encodeLimits(limits []placement.TargetNotice) json.RawMessage {
	if len(limits) == 0 {
		return nil
	}
	raw, err := json.Marshal(placewire.NewNotices(limits))
	if err != nil {
		o.log.Error("rate limits not encoded", "step", "limit", "error", err)
		return nil
	}
	return raw
}
