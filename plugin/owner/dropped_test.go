package owner

import (
	"context"
	"encoding/json"
	"testing"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/placewire"
)

// Guards against requests that count as running on their targets for good, because the message with
// their ends did not fit into the owner's inbox.
func TestDroppedMessageIsReplacedByReport(t *testing.T) {
	r := newHarness(t)
	r.send(placewire.EntryMessage{FullReport: true, Running: []placewire.Running{{Request: placewire.Request{Number: 1, Service: "m"}, Target: "t1"}}})
	r.waitForCheck()
	blocked := make(chan struct{})
	r.o.inbox.Push(func() { <-blocked })
	for r.o.inbox.Push(func() {}) {
	}
	raw, err := json.Marshal(placewire.EntryMessage{Term: 7, Ends: []placewire.End{{Number: 1, Outcome: api.AttemptServed}}})
	r.NoErr(err)
	_, err = r.o.handleEntryMessage(context.Background(), "e", raw)
	r.NoErr(err)
	close(blocked)
	r.nextWith(func(m placewire.OwnerMessage) bool { return m.ReportFully })
	r.send(placewire.EntryMessage{FullReport: true, Requests: []placewire.Request{{Number: 2, Service: "m", TimesMs: [4]int64{1000, 4000, 1000}}}})
	m := r.nextWith(func(m placewire.OwnerMessage) bool { return len(m.Decisions) > 0 })
	r.Equal(m.Decisions[0].Target, "t1") // its only slot is free
}

// Guards against an entry instance that takes its starts for known to the owner, and so follows it, because a
// later message than the dropped one with the starts was acknowledged.
func TestDroppedMessageIsNotAcknowledged(t *testing.T) {
	r := newHarness(t)
	r.send(placewire.EntryMessage{FullReport: true, Process: "a", Sent: 50})
	r.waitForCheck()
	blocked := make(chan struct{})
	r.o.inbox.Push(func() { <-blocked })
	for r.o.inbox.Push(func() {}) {
	}
	raw, err := json.Marshal(placewire.EntryMessage{Term: 7, Sent: 100, Share: &placewire.StartShare{}})
	r.NoErr(err)
	_, err = r.o.handleEntryMessage(context.Background(), "e", raw)
	r.NoErr(err)
	close(blocked)
	asked := r.nextWith(func(m placewire.OwnerMessage) bool { return m.ReportFully })
	r.Equal(asked.Echo, int64(50))
	r.send(placewire.EntryMessage{Sent: 200, Requests: newRequests(1)})
	r.Equal(r.nextWith(func(m placewire.OwnerMessage) bool { return len(m.Decisions) > 0 }).Echo, int64(50))
	r.send(placewire.EntryMessage{FullReport: true, Process: "a", Sent: 300, Share: &placewire.StartShare{}})
	r.send(placewire.EntryMessage{Sent: 400, Requests: newRequests(2)})
	r.Equal(r.nextWith(func(m placewire.OwnerMessage) bool { return len(m.Decisions) > 0 }).Echo, int64(400))
}

// Guards against a full report that a later message has overtaken by another way and that replaces the
// newer state, and against one of a new process that is taken for such a report.
func TestOvertakenReportIsIgnored(t *testing.T) {
	r := newHarness(t)
	running := []placewire.Running{{Request: placewire.Request{Number: 1, Service: "m"}, Target: "t1"}}
	grantedTo := func(n uint64) string {
		r.send(placewire.EntryMessage{Requests: []placewire.Request{{Number: n, Service: "m", TimesMs: [4]int64{1000, 4000, 1000}}}})
		m := r.nextWith(func(m placewire.OwnerMessage) bool { return len(m.Decisions) > 0 })
		return m.Decisions[0].Target
	}
	r.send(placewire.EntryMessage{FullReport: true, Process: "a", Sent: 100})
	r.send(placewire.EntryMessage{FullReport: true, Process: "a", Sent: 50, Running: running})
	r.nextWith(func(m placewire.OwnerMessage) bool { return m.ReportFully })
	r.Equal(grantedTo(2), "t1") // its only slot is free
	r.send(placewire.EntryMessage{FullReport: true, Process: "b", Sent: 10})
	r.Equal(grantedTo(3), "t1") // request 2 has ended with its process
}
