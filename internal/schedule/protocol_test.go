package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/limits"
)

// pair connects one Owner and one EntryQueues without a network, so that a test controls
// every message.
type pair struct {
	owner       *Owner
	queues      *EntryQueues
	now         time.Duration
	leaseValid  bool
	targetKnown bool
}

func (p *pair) LeaseValid() bool                      { return p.leaseValid }
func (p *pair) Address(string, string) (string, bool) { return "a", p.targetKnown }

func newPair(slots int) *pair {
	p := &pair{now: time.Minute, leaseValid: true, targetKnown: true, queues: NewEntryQueues("p", 7)}
	p.newOwner(1, slots)
	p.queues.SetOwner("o", 1)
	p.deliverToOwner()
	return p
}

func (p *pair) newOwner(epoch uint64, slots int) {
	p.owner = NewOwner("p", epoch, map[string]string{"r": "dc"}, p.now)
	p.owner.Targets().Configure([]limits.Config{{Name: "t", DataCentre: "dc", WarmCapacity: slots, ColdCapacity: slots,
		WarmthTTL: time.Minute, ReportLag: time.Second, RequestLimit: time.Hour}}, p.now)
}

// deliverToOwner delivers all messages that the entry queues have due.
func (p *pair) deliverToOwner() {
	for {
		demand, report := p.queues.Flush(p.now)
		if demand == nil && report == nil {
			return
		}
		if demand != nil {
			p.owner.Demand("r", demand, p.now)
		} else {
			p.owner.Report("r", report, p.now)
			p.owner.Targets().PollFailed("t", p.now)
		}
	}
}

// schedule lets the owner make grants and returns its message, or nil.
func (p *pair) schedule() *GrantMsg {
	p.owner.Schedule(p.now)
	var out *GrantMsg
	p.owner.Flush(func(_ string, m *GrantMsg) bool {
		c := *m
		c.Grants = slices.Clone(m.Grants)
		out = &c
		return true
	})
	return out
}

// deliverToInstance delivers a message of the owner and returns the number of requests
// that may start.
func (p *pair) deliverToInstance(m *GrantMsg) int {
	if m == nil {
		return 0
	}
	return len(p.queues.OnGrant("o", m, p.now, p))
}

func (p *pair) advance(d time.Duration) {
	for end := p.now + d; p.now < end; {
		p.now += 50 * ms
		p.queues.Tick(p.now)
		p.deliverToOwner()
		p.owner.Tick(p.now, func(string) bool { return true })
	}
}

func (p *pair) enqueue(n int) (all []*LocalRequest) {
	for i := range n {
		req, _ := p.queues.Enqueue(api.SlotRequest{ID: fmt.Sprint(i), Pool: "p", Workspace: "w"}, 1000, p.now)
		all = append(all, req)
	}
	p.deliverToOwner()
	return all
}

// Guards against grants that are lost, duplicated or reordered and so start a request
// twice, lose a slot or leave a request waiting; and against the use of a grant that
// section 9.6 of the design forbids.
func TestGrantFaults(t *testing.T) {
	cases := []struct {
		name        string
		handle      func(p *pair) int // delivers the first grant and returns the number of requests started
		wantStarted int               // requests started by the first grant
	}{
		{"delivered", func(p *pair) int { return p.deliverToInstance(p.schedule()) }, 1},
		{"lost", func(p *pair) int { p.schedule(); return 0 }, 0},
		{"duplicated", func(p *pair) int { m := p.schedule(); return p.deliverToInstance(m) + p.deliverToInstance(m) }, 1},
		{"delayed", func(p *pair) int { m := p.schedule(); p.now += maxEchoedClockAge + 1*ms; return p.deliverToInstance(m) }, 0},
		{"overtaken by a report", func(p *pair) int {
			m := p.schedule()
			p.queues.MessageNotSent()
			p.deliverToOwner()
			return p.deliverToInstance(m)
		}, 0},
		{"earlier epoch", func(p *pair) int { m := p.schedule(); p.queues.SetOwner("x", 2); return p.deliverToInstance(m) }, 0},
		{"clock of another process", func(p *pair) int { m := p.schedule(); m.Clock += 500; return p.deliverToInstance(m) }, 0},
		{"other incarnation", func(p *pair) int { m := p.schedule(); m.Incarnation++; return p.deliverToInstance(m) }, 0},
		{"gap", func(p *pair) int { m := p.schedule(); m.GrantsBefore++; return p.deliverToInstance(m) }, 0},
		{"no lease", func(p *pair) int { m := p.schedule(); p.leaseValid = false; return p.deliverToInstance(m) }, 0},
		{"target unknown or out of service", func(p *pair) int { m := p.schedule(); p.targetKnown = false; return p.deliverToInstance(m) }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPair(1)
			req := p.enqueue(1)[0]
			is.Equal(c.handle(p), c.wantStarted)
			is.Equal(req.Started(), c.wantStarted == 1)
			p.leaseValid, p.targetKnown = true, true
			if _, epoch := p.queues.Owner(); epoch == 2 {
				p.newOwner(2, 1)
			}
			for range 60 {
				p.advance(50 * ms)
				p.deliverToInstance(p.schedule())
			}
			is.True(req.Started()) // granted again
			is.Equal(p.owner.Targets().Target("t").Used(), 1)
			p.queues.Done(req, api.GrantOutcome{Result: api.ResultOK, Cost: 5}, p.now)
			p.deliverToOwner()
			is.Equal(p.owner.Targets().Target("t").Used(), 0)
		})
	}
}

// Guards against entry queues that announce more than MaxAnnounced requests of a workspace,
// and against requests beyond MaxAnnounced that are never announced.
func TestWindow(t *testing.T) {
	is := is.New(t)
	p := newPair(10)
	all := p.enqueue(3 * MaxAnnounced)
	is.Equal(p.owner.Waiting(), MaxAnnounced)
	started := 0
	for range 3 * MaxAnnounced {
		started += p.deliverToInstance(p.schedule())
		for _, req := range all {
			p.queues.Done(req, api.GrantOutcome{Result: api.ResultOK, Cost: 1}, p.now)
		}
		p.deliverToOwner()
		is.True(p.owner.Waiting() <= MaxAnnounced)
	}
	is.Equal(started, 3*MaxAnnounced)
}

// Guards against a cancelled request that still uses a slot, or gets one afterwards.
func TestCancel(t *testing.T) {
	is := is.New(t)
	p := newPair(1)
	all := p.enqueue(3)
	p.queues.Cancel(all[1], p.now)
	p.deliverToOwner()
	m := p.schedule()
	p.queues.Cancel(all[0], p.now) // crosses its grant
	is.Equal(p.deliverToInstance(m), 0)
	p.deliverToOwner()
	is.Equal(p.deliverToInstance(p.schedule()), 1)
	is.True(all[2].Started())
	p.queues.Cancel(all[2], p.now)
	p.deliverToOwner()
	is.Equal(p.owner.Targets().Target("t").Used(), 0)
	is.Equal(p.owner.Waiting(), 0)
	is.Equal(p.owner.Accounts().Get("w").Virtual(), 0.0) // no service was charged
	req, _ := p.queues.Enqueue(api.SlotRequest{Pool: "p", Workspace: "w"}, 1000, p.now)
	p.queues.Cancel(req, p.now) // in the same message as its announcement
	p.deliverToOwner()
	is.Equal(p.owner.Waiting(), 0)
}

// Guards against a queue that exceeds its limit, a rejection without a retry time,
// and a request that waits beyond its deadline.
func TestQueueLimitAndDeadline(t *testing.T) {
	is := is.New(t)
	e := NewEntryQueues("p", 1)
	for i := range 3 {
		req, retry := e.Enqueue(api.SlotRequest{Workspace: "w", Deadline: time.Duration(i) * time.Second}, 2, 0)
		is.Equal(req == nil, i == 2)
		is.Equal(retry > 0, i == 2)
	}
	is.Equal(len(e.Tick(999*ms)), 0)
	is.Equal(len(e.Tick(time.Second)), 1)
	is.Equal(e.Queued(), 1) // no deadline
	is.Equal(len(e.RefuseAll(time.Second)), 1)
	is.Equal(e.Queued(), 0)
}

// Guards against an owner that opens before every instance with a lease has
// reported, and against one that waits for an instance without a lease.
func TestOwnerWaitsForReports(t *testing.T) {
	is := is.New(t)
	o := NewOwner("p", 1, map[string]string{"a": "x", "b": "x"}, 0)
	o.Report("a", &ReportMsg{Header: Header{Epoch: 1, Incarnation: 1, Generation: 1}}, 0)
	o.Tick(5*time.Second, func(string) bool { return true })
	is.True(!o.Open())
	requested := map[string]bool{}
	o.Flush(func(to string, m *GrantMsg) bool { requested[to] = m.WantReport; return true })
	is.True(requested["b"]) // requested again
	o.Tick(6*time.Second, func(name string) bool { return name != "b" })
	is.True(o.Open())
}

// Guards against an owner whose memory grows without bound with the announcements of
// an instance, or with messages of unknown instances.
func TestOwnerStateBounded(t *testing.T) {
	is := is.New(t)
	p := newPair(1)
	d := &DemandMsg{Header: Header{Epoch: 1, Incarnation: 7, Generation: 1, Seq: 1}}
	for i := range 100000 {
		d.Added = append(d.Added, Announcement{Number: uint64(i), Workspace: fmt.Sprint(i)})
	}
	p.owner.Demand("r", d, p.now)
	is.Equal(p.owner.Waiting(), MaxAnnounced*spareWorkspaces)
	p.owner.Demand("stranger", d, p.now)
	is.Equal(len(p.owner.peers), 1)
}
