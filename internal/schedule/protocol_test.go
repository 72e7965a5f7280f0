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

// pair joins one owner and one router by hand, so that a test decides about
// every message.
type pair struct {
	o     *Owner
	r     *Router
	now   time.Duration
	valid bool
	known bool
}

func (p *pair) LeaseValid() bool                      { return p.valid }
func (p *pair) Address(string, string) (string, bool) { return "a", p.known }

func newPair(slots int) *pair {
	p := &pair{now: time.Minute, valid: true, known: true, r: NewRouter("p", 7)}
	p.own(1, slots)
	p.r.SetOwner("o", 1)
	p.up()
	return p
}

func (p *pair) own(epoch uint64, slots int) {
	p.o = NewOwner("p", epoch, map[string]string{"r": "dc"}, p.now)
	p.o.Limits().Configure([]limits.Config{{Name: "t", DataCentre: "dc", WarmCapacity: slots, ColdCapacity: slots,
		EvidenceLife: time.Minute, ReportLag: time.Second, RequestLimit: time.Hour}}, p.now)
}

// up delivers what the router has to send.
func (p *pair) up() {
	for {
		d, rep := p.r.Flush(p.now)
		if d == nil && rep == nil {
			return
		}
		if d != nil {
			p.o.Demand("r", d, p.now)
		} else {
			p.o.Report("r", rep, p.now)
			p.o.Limits().Silent("t", p.now)
		}
	}
}

// down lets the owner grant and returns its message.
func (p *pair) down() *GrantMsg {
	p.o.Schedule(p.now)
	var out *GrantMsg
	p.o.Flush(func(_ string, m *GrantMsg) bool {
		c := *m
		c.List = slices.Clone(m.List)
		out = &c
		return true
	})
	return out
}

// take delivers a message of the owner and returns the number of started requests.
func (p *pair) take(m *GrantMsg) int {
	if m == nil {
		return 0
	}
	return len(p.r.OnGrant("o", m, p.now, p))
}

func (p *pair) pass(d time.Duration) {
	for end := p.now + d; p.now < end; {
		p.now += 50 * ms
		p.r.Tick(p.now)
		p.up()
		p.o.Tick(p.now, func(string) bool { return true })
	}
}

func (p *pair) enqueue(n int) (all []*Item) {
	for i := range n {
		it, _ := p.r.Enqueue(api.Demand{ID: fmt.Sprint(i), Pool: "p", Workspace: "w"}, 1000, p.now)
		all = append(all, it)
	}
	p.up()
	return all
}

// Guards against each loss, doubling or disorder of grants starting a request
// twice, losing a slot, or leaving a request behind; and against each reason of
// section 9.6 for which a grant must not be used.
func TestGrantFaults(t *testing.T) {
	cases := []struct {
		name  string
		first func(p *pair) int // handles the first grant and returns what started
		want  int               // requests started by the first grant
	}{
		{"plain", func(p *pair) int { return p.take(p.down()) }, 1},
		{"lost", func(p *pair) int { p.down(); return 0 }, 0},
		{"doubled", func(p *pair) int { m := p.down(); return p.take(m) + p.take(m) }, 1},
		{"late", func(p *pair) int { m := p.down(); p.now += echoLimit + 1*ms; return p.take(m) }, 0},
		{"overtaken by a report", func(p *pair) int { m := p.down(); p.r.Lost(); p.up(); return p.take(m) }, 0},
		{"old epoch", func(p *pair) int { m := p.down(); p.r.SetOwner("x", 2); return p.take(m) }, 0},
		{"clock of another process", func(p *pair) int { m := p.down(); m.Clock += 500; return p.take(m) }, 0},
		{"other incarnation", func(p *pair) int { m := p.down(); m.Inc++; return p.take(m) }, 0},
		{"gap", func(p *pair) int { m := p.down(); m.First++; return p.take(m) }, 0},
		{"no lease", func(p *pair) int { m := p.down(); p.valid = false; return p.take(m) }, 0},
		{"target unknown or out", func(p *pair) int { m := p.down(); p.known = false; return p.take(m) }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPair(1)
			it := p.enqueue(1)[0]
			is.Equal(c.first(p), c.want)
			is.Equal(it.Started(), c.want == 1)
			p.valid, p.known = true, true
			if _, epoch := p.r.Owner(); epoch == 2 {
				p.own(2, 1)
			}
			for range 60 {
				p.pass(50 * ms)
				p.take(p.down())
			}
			is.True(it.Started()) // served in the end
			is.Equal(p.o.Limits().Target("t").Used(), 1)
			p.r.Done(it, api.Outcome{Result: api.ResultOK, Cost: 5}, p.now)
			p.up()
			is.Equal(p.o.Limits().Target("t").Used(), 0)
		})
	}
}

// Guards against a router that announces without bound, and against requests
// beyond the window that are never announced.
func TestWindow(t *testing.T) {
	is := is.New(t)
	p := newPair(10)
	all := p.enqueue(3 * Window)
	is.Equal(p.o.Waiting(), Window)
	started := 0
	for range 3 * Window {
		started += p.take(p.down())
		for _, it := range all {
			p.r.Done(it, api.Outcome{Result: api.ResultOK, Cost: 1}, p.now)
		}
		p.up()
		is.True(p.o.Waiting() <= Window)
	}
	is.Equal(started, 3*Window)
}

// Guards against a cancelled request that keeps a slot or gets one.
func TestCancel(t *testing.T) {
	is := is.New(t)
	p := newPair(1)
	all := p.enqueue(3)
	p.r.Cancel(all[1], p.now)
	p.up()
	m := p.down()
	p.r.Cancel(all[0], p.now) // crosses its grant
	is.Equal(p.take(m), 0)
	p.up()
	is.Equal(p.take(p.down()), 1)
	is.True(all[2].Started())
	p.r.Cancel(all[2], p.now)
	p.up()
	is.Equal(p.o.Limits().Target("t").Used(), 0)
	is.Equal(p.o.Waiting(), 0)
	is.Equal(p.o.Fair().Get("w").Virtual(), 0.0) // nothing was served
	it, _ := p.r.Enqueue(api.Demand{Pool: "p", Workspace: "w"}, 1000, p.now)
	p.r.Cancel(it, p.now) // in one message with its announcement
	p.up()
	is.Equal(p.o.Waiting(), 0)
}

// Guards against a queue without bound, a retry advice without meaning and a
// deadline that does not end the wait.
func TestQueueLimitAndDeadline(t *testing.T) {
	is := is.New(t)
	r := NewRouter("p", 1)
	for i := range 3 {
		it, retry := r.Enqueue(api.Demand{Workspace: "w", Deadline: time.Duration(i) * time.Second}, 2, 0)
		is.Equal(it == nil, i == 2)
		is.Equal(retry > 0, i == 2)
	}
	is.Equal(len(r.Tick(999*ms)), 0)
	is.Equal(len(r.Tick(time.Second)), 1)
	is.Equal(r.Queued(), 1) // no deadline
	is.Equal(len(r.RefuseAll(time.Second)), 1)
	is.Equal(r.Queued(), 0)
}

// Guards against an owner that grants before every router has reported, and
// against one that waits for a router that holds no lease.
func TestOpen(t *testing.T) {
	is := is.New(t)
	o := NewOwner("p", 1, map[string]string{"a": "x", "b": "x"}, 0)
	o.Report("a", &ReportMsg{Head: Head{Epoch: 1, Inc: 1, Gen: 1}}, 0)
	o.Tick(5*time.Second, func(string) bool { return true })
	is.True(!o.Open())
	asked := map[string]bool{}
	o.Flush(func(to string, m *GrantMsg) bool { asked[to] = m.Want; return true })
	is.True(asked["b"]) // asked again
	o.Tick(6*time.Second, func(name string) bool { return name != "b" })
	is.True(o.Open())
}

// Guards against an owner whose state grows with what a router sends.
func TestBoundedState(t *testing.T) {
	is := is.New(t)
	p := newPair(1)
	d := &DemandMsg{Head: Head{Epoch: 1, Inc: 7, Gen: 1, Seq: 1}}
	for i := range 100000 {
		d.Added = append(d.Added, Add{N: uint64(i), Workspace: fmt.Sprint(i)})
	}
	p.o.Demand("r", d, p.now)
	is.Equal(p.o.Waiting(), Window*spareWorkspaces)
	p.o.Demand("stranger", d, p.now)
	is.Equal(len(p.o.peers), 1)
}
