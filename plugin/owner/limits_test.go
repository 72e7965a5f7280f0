package owner

import (
	"encoding/json"
	"testing"

	"nutmegrouter/internal/placement"
	"nutmegrouter/internal/placewire"
)

// Guards against rate limits that do not reach all entry instances, those that start later included, or
// are sent again with each message.
func TestRateLimitsReachEachEntryOnce(t *testing.T) {
	r := newHarness(t)
	limits := func() []placewire.Notice {
		var out []placewire.Notice
		m := r.nextWith(func(m placewire.OwnerMessage) bool { return m.Limits != nil })
		r.NoErr(json.Unmarshal(m.Limits, &out))
		return out
	}
	r.send(placewire.EntryMessage{FullReport: true})
	r.o.inbox.Push(func() { r.o.applyUpdate("f", &placewire.EntryMessage{Term: 7, FullReport: true}, 0) })
	notice := placewire.NewNotice(placement.TargetNotice{Target: "t1", Limit: placement.LimitNotice{Stated: true, Limited: true, PerSecond: 4}})
	r.send(placewire.EntryMessage{Notices: []placewire.Notice{notice}})
	for range 2 { // one for each entry instance
		m := limits()
		r.Equal(len(m), 1)
		r.Equal(*m[0].Rate, 4.0)
	}
	r.send(placewire.EntryMessage{Notices: []placewire.Notice{notice}}) // it still holds
	r.o.inbox.Push(func() { r.o.applyUpdate("g", &placewire.EntryMessage{Term: 7, FullReport: true}, 0) })
	r.Equal(limits()[0].Target, "t1")
	r.waitForCheck()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.sent {
		r.True(m.Limits == nil)
	}
}
