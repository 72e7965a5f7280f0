package owner

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/placement"
	"nutmegrouter/internal/placewire"
)

// commonCause is longer than the time within which crashes of several targets count as one.
const commonCause = 100 * time.Millisecond

// Guards against a suspect request of which not all entry instances are told, against one that stays
// listed after an answer, and against a list for each message.
func TestSuspectRequestsReachEachEntry(t *testing.T) {
	r := newHarness(t)
	f := placewire.NewFingerprint(api.Fingerprint{Selector: 1, Digest: [2]uint64{2, 3}})
	suspects := func() []placewire.SuspectRequest {
		m := r.nextWith(func(m placewire.OwnerMessage) bool { return m.Suspects != nil })
		var out []placewire.SuspectRequest
		r.NoErr(json.Unmarshal(m.Suspects, &out))
		return out
	}
	r.send(placewire.EntryMessage{FullReport: true})
	r.o.inbox.Push(func() { r.o.applyUpdate("f", &placewire.EntryMessage{Term: 7, FullReport: true}, 0) })
	for range 2 { // an instance that has just started waits for the list
		r.Equal(len(suspects()), 0)
		r.Advance(commonCause, commonCause)
	}
	for i := range 3 {
		r.send(placewire.EntryMessage{Crashes: []placewire.RequestCrash{{Fingerprint: f, Target: fmt.Sprint("t", i)}}})
		r.waitForCheck()
		r.Advance(commonCause, commonCause)
		if i > 0 {
			for range 2 { // one for each entry instance
				s := suspects()
				r.Equal(len(s), 1)
				r.Equal(s[0].Blocked, i == 2)
			}
		}
	}
	r.send(placewire.EntryMessage{Requests: []placewire.Request{{Number: 5, Plain: true, Fingerprint: &f}}})
	decided := func(m placewire.OwnerMessage) bool { return len(m.Decisions) > 0 }
	r.Equal(r.nextWith(decided).Decisions[0].Code, placement.CodeRequestCrashes)
	r.Advance(commonCause, commonCause)
	r.send(placewire.EntryMessage{AnsweredSuspects: []placewire.Fingerprint{f}})
	for range 2 {
		r.Equal(len(suspects()), 0)
	}
	r.send(placewire.EntryMessage{Requests: []placewire.Request{{Number: 6, Plain: true, Fingerprint: &f}}})
	r.True(r.nextWith(decided).Decisions[0].Permitted)
	r.waitForCheck()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.sent {
		r.True(m.Suspects == nil)
	}
}
