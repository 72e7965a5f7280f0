package owner

import (
	"testing"
	"time"

	"nutmegrouter/internal/placement"
	"nutmegrouter/internal/placewire"
)

// Guards against blocked prompt parts that do not reach all entry instances, or are sent again with
// each message.
func TestBlockedPartsReachEachEntryOnce(t *testing.T) {
	r := newHarness(t)
	withBlocked := func(m placewire.OwnerMessage) bool { return m.Blocked != nil }
	blocked := placewire.NewBlockedParts([]placement.BlockedPart{{Part: 7, Remaining: time.Minute}})
	r.send(placewire.EntryMessage{FullReport: true})
	r.waitForCheck() // in a round of its own, after which entry instance e has the empty list
	r.o.inbox.Push(func() {
		r.o.applyUpdate("f", &placewire.EntryMessage{Term: 7, FullReport: true, Blocked: blocked}, 0)
	})
	for range 2 { // one for each entry instance
		m := r.nextWith(withBlocked)
		r.Equal(len(*m.Blocked), 1)
		r.Equal((*m.Blocked)[0][0], uint64(7))
	}
	r.o.inbox.Push(func() { // a list that is older than this owner's
		old := placewire.NewBlockedParts([]placement.BlockedPart{{Part: 8, Remaining: time.Minute}})
		r.o.applyUpdate("f", &placewire.EntryMessage{Term: 7, FullReport: true, Blocked: old}, 0)
	})
	m := r.nextWith(withBlocked)
	r.Equal(len(*m.Blocked), 1)
	r.Equal((*m.Blocked)[0][0], uint64(7))
	for range 3 { // rounds that have nothing new
		r.waitForCheck()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Equal(len(r.sent), 0)
}
