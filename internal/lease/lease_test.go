package lease

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const sec = time.Second

// newWitness returns a node of a fleet of five that has voted for nobody and is a
// witness at 10 s.
func newWitness(self string) *Node {
	n := New(Config{Self: self, Instances: []string{"a", "b", "c", "d", "e"}, Boot: 1})
	n.ConfirmRevision(3*sec, 3*sec, 0)
	return n
}

// Guards against a witness that grants a pool to two instances or an epoch to two
// owners, or accepts a handover that did not take place.
func TestGrant(t *testing.T) {
	held := vote{owner: "a", boot: 1, epoch: 5, expires: 11 * sec}
	cases := []struct {
		name  string
		from  string
		boot  uint64
		now   time.Duration
		epoch uint64
		after uint64
		want  Vote
	}{
		{"renewal", "a", 1, 10 * sec, 5, 0, Vote{Granted: true}},
		{"higher epoch of the owner", "a", 1, 10 * sec, 6, 0, Vote{Granted: true}},
		{"lower epoch of the owner", "a", 1, 10 * sec, 4, 0, Vote{Epoch: 5}},
		{"other candidate", "b", 1, 10 * sec, 6, 0, Vote{Owner: "a", Epoch: 5}},
		{"restarted owner", "a", 2, 10 * sec, 6, 0, Vote{Owner: "a", Epoch: 5}},
		{"expired", "b", 1, 11 * sec, 6, 0, Vote{Granted: true}},
		{"expired, used epoch", "b", 1, 11 * sec, 5, 0, Vote{Epoch: 5}},
		{"expired, restarted owner, used epoch", "a", 2, 11 * sec, 5, 0, Vote{Epoch: 5}},
		{"handed over", "b", 1, 10 * sec, 6, 5, Vote{Granted: true}},
		{"handed over long ago", "b", 1, 10 * sec, 6, 4, Vote{Owner: "a", Epoch: 5}},
		{"handed over, used epoch", "b", 1, 10 * sec, 5, 5, Vote{Epoch: 5}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := newWitness("e")
			copied := held
			n.votes["p"] = &copied
			reply := n.HandleHeartbeat(c.now, c.from, Heartbeat{Boot: c.boot, Seq: 1, Requests: []Request{{Pool: "p", Epoch: c.epoch, HandedOverEpoch: c.after}}})
			is.Equal(reply.Votes, []Vote{c.want})
		})
	}
}

// Guards against an older heartbeat that arrives after a release and undoes it, and
// against a release by an instance that is not the owner.
func TestReleaseNotUndoneByOlderHeartbeat(t *testing.T) {
	is := is.New(t)
	n := newWitness("e")
	request := Heartbeat{Boot: 1, Seq: 1, Requests: []Request{{Pool: "p", Epoch: 1}}}
	is.True(n.HandleHeartbeat(10*sec, "a", request).Votes[0].Granted)
	n.HandleHeartbeat(10*sec, "b", Heartbeat{Boot: 1, Seq: 1, Releases: []Release{{Pool: "p", Epoch: 1}}})
	is.True(!n.votes["p"].free(10 * sec)) // b is not the owner
	n.HandleHeartbeat(10*sec, "a", Heartbeat{Boot: 1, Seq: 3, Releases: []Release{{Pool: "p", Epoch: 1}}})
	is.True(n.votes["p"].free(10 * sec))
	request.Seq = 2
	is.True(!n.HandleHeartbeat(10*sec, "a", request).Votes[0].Granted) // sent before the release
	is.True(n.votes["p"].free(10 * sec))
}

// Guards against a vote for a process that has ended: its heartbeat arrives after those of the
// restarted process.
func TestHeartbeatOfEarlierBootIsNotNew(t *testing.T) {
	is := is.New(t)
	n := newWitness("e")
	request := []Request{{Pool: "p", Epoch: 1}}
	for boot := uint64(7); boot <= 9; boot++ {
		n.HandleHeartbeat(10*sec, "a", Heartbeat{Boot: boot, Seq: 1, Revision: boot})
	}
	for boot := uint64(7); boot <= 8; boot++ {
		is.True(!n.HandleHeartbeat(10*sec, "a", Heartbeat{Boot: boot, Seq: 100, Requests: request}).Votes[0].Granted)
	}
	is.True(n.HandleHeartbeat(10*sec, "a", Heartbeat{Boot: 9, Seq: 2, Requests: request}).Votes[0].Granted)
}

// Guards against a restarted witness that votes before the grants of its earlier
// boot have expired or before its view has caught up.
func TestRestart(t *testing.T) {
	majority := map[string]Reply{"a": {Revision: 3}, "b": {Revision: 4}, "c": {Revision: 4}}
	abstaining := map[string]Reply{"a": {Revision: 3}, "b": {Revision: 4}, "c": {Revision: 4, Abstains: true}}
	cases := []struct {
		name     string
		own      uint64
		sent     time.Duration
		replies  map[string]Reply
		readAt   time.Duration
		readRev  uint64
		now      time.Duration
		expected bool
	}{
		{"no read and no reply", 4, 3 * sec, nil, 0, 0, 4 * sec, false},
		{"read too early", 4, 3 * sec, nil, 2 * sec, 4, 4 * sec, false},
		{"confirmed read", 4, 3 * sec, nil, 3 * sec, 4, 4 * sec, true},
		{"view behind the read", 3, 3 * sec, nil, 3 * sec, 4, 4 * sec, false},
		{"majority", 4, 3 * sec, majority, 0, 0, 4 * sec, true},
		{"majority, heartbeat too early", 4, 2 * sec, majority, 0, 0, 4 * sec, false},
		{"view behind the majority", 3, 3 * sec, majority, 0, 0, 4 * sec, false},
		{"majority with an abstention", 4, 3 * sec, abstaining, 0, 0, 4 * sec, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := New(Config{Self: "e", Instances: []string{"a", "b", "c", "d", "e"}, Boot: 1})
			n.SetRevision(0, c.own)
			n.NextHeartbeat(c.sent)
			for from, r := range c.replies {
				r.Seq = 1
				n.HandleReply(c.sent, from, r)
			}
			if c.readAt > 0 {
				n.ConfirmRevision(c.readAt, c.readAt, c.readRev)
			}
			n.Tick(c.now)
			is.Equal(n.IsWitness(c.now), c.expected)
			is.Equal(n.HandleHeartbeat(c.now, "a", Heartbeat{Boot: 1, Seq: 1}).Abstains, !c.expected)
			is.True(!n.IsWitness(2 * sec)) // never before RestartAbstention
		})
	}
}

// Guards against a lease that lacks a majority, has a view older than the
// majority's, does not expire, or is counted from the reply instead of the
// heartbeat.
func TestInstanceLease(t *testing.T) {
	cases := []struct {
		name    string
		own     uint64
		replies []Reply
		want    bool
	}{
		{"no reply", 4, nil, false},
		{"one reply", 4, []Reply{{Revision: 4}}, false},
		{"majority with self", 4, []Reply{{Revision: 4}, {Revision: 2}}, true},
		{"abstention", 4, []Reply{{Revision: 4}, {Revision: 4, Abstains: true}}, false},
		{"view behind", 3, []Reply{{Revision: 4}, {Revision: 3}}, false},
		{"majority without the newest", 3, []Reply{{Revision: 4}, {Revision: 3}, {Revision: 3}}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := newWitness("e")
			n.SetRevision(9*sec, c.own)
			n.NextHeartbeat(10 * sec)
			for i, r := range c.replies {
				r.Seq = 1
				n.HandleReply(11*sec, n.cfg.Instances[i], r)
				n.HandleReply(11*sec, n.cfg.Instances[i], r) // duplicate
			}
			is.Equal(n.LeaseValid(11*sec), c.want)
			n.SetRevision(11*sec, 4)
			// The view caught up afterwards.
			is.Equal(n.LeaseValid(10*sec+HolderLeaseTime-1), len(c.replies) > 1 && !c.replies[1].Abstains)
			is.True(!n.LeaseValid(10*sec + HolderLeaseTime)) // e.g. after a freeze
			for i := range c.replies {
				n.HandleReply(13*sec, n.cfg.Instances[i], Reply{Seq: 1, Revision: 4})
			}
			is.True(!n.LeaseValid(13 * sec)) // replies after HolderLeaseTime extend nothing
		})
	}
}

// Guards against a reported revision that counts although the peer may have lost it
// in a restart.
func TestRevisionExpires(t *testing.T) {
	is := is.New(t)
	n := newWitness("e")
	n.NextHeartbeat(10 * sec)
	n.HandleReply(11*sec, "a", Reply{Seq: 1, Revision: 4})
	is.Equal(n.PeerRevision(10*sec+MaxReportAge, "a"), uint64(4))
	is.Equal(n.PeerRevision(10*sec+MaxReportAge+1, "a"), uint64(0)) // counted from the heartbeat
	is.Equal(n.PeerRevision(10*sec, "b"), uint64(0))
}

// Guards against a new revision that is reported only at the next periodic
// heartbeat, and against instances that trigger each other's heartbeats without end
// while replies are lost.
func TestNewRevisionTriggersHeartbeat(t *testing.T) {
	is := is.New(t)
	n := newWitness("e")
	n.NextHeartbeat(10 * sec)
	n.HandleReply(10*sec, "a", Reply{Seq: 1, Revision: 4})
	n.Tick(10 * sec)
	for i, want := range []bool{true, false, false} {
		n.HandleHeartbeat(10*sec, "a", Heartbeat{Boot: 1, Seq: uint64(i + 1), Revision: 5})
		is.Equal(n.Tick(10*sec), want)
	}
	n.HandleHeartbeat(10*sec, "a", Heartbeat{Boot: 2, Seq: 1, Revision: 5}) // a has restarted
	is.True(n.Tick(10 * sec))
}

// Guards against a failed peer that delays a new owner, and against a running peer
// considered without lease because a minority of witnesses does not reply to it.
func TestMayHoldLease(t *testing.T) {
	unanswered := func(ms uint64) []UnansweredPeer { return []UnansweredPeer{{"a", ms}} }
	cases := []struct {
		name       string
		unanswered map[string][]UnansweredPeer
		now        time.Duration
		want       bool
	}{
		{"no reports from others", map[string][]UnansweredPeer{"b": nil, "c": nil}, 10 * sec, true},
		{"minority", map[string][]UnansweredPeer{"b": unanswered(5000), "c": nil}, 10 * sec, true},
		{"majority", map[string][]UnansweredPeer{"b": unanswered(5000), "c": unanswered(2100)}, 10 * sec, false},
		{"majority, one reply too recent", map[string][]UnansweredPeer{"b": unanswered(5000), "c": unanswered(1900)}, 10 * sec, true},
		{"majority, old reports", map[string][]UnansweredPeer{"b": unanswered(5000), "c": unanswered(5000)}, 12 * sec, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := newWitness("e") // has replied to nobody since its start at 0 s
			n.NextHeartbeat(10 * sec)
			for from, u := range c.unanswered {
				n.HandleReply(10*sec, from, Reply{Seq: 1, Unanswered: u})
			}
			is.Equal(n.MayHoldLease(c.now, "a"), c.want)
			is.True(n.MayHoldLease(c.now, "unknown"))
		})
	}
}

// startWithOwner returns a simulation of five nodes that has run for 8 s without
// faults, and the owner of pool p.
func startWithOwner(t *testing.T, maxDelay time.Duration) (*sim, string) {
	t.Helper()
	s := newSim(7, []float64{1, 1, 1, 1, 1}, "p")
	s.maxDelay = maxDelay
	s.runUntil(8 * sec)
	name := s.poolOwner()
	if name == "" {
		t.Fatal("no owner after 8 s")
	}
	return s, name
}

// poolOwner returns the instance that owns pool p, or "".
func (s *sim) poolOwner() string {
	for _, name := range s.names {
		if _, ok := s.nodes[name].Holds(s.clock(s.nodes[name]), "p"); ok {
			return name
		}
	}
	return ""
}

// timeWithoutOwner runs in steps of 1 ms until another instance than old owns pool p.
// It returns how long the pool had no owner, or limit if there is no new owner by
// then.
func (s *sim) timeWithoutOwner(old string, limit time.Duration) time.Duration {
	none := time.Duration(0)
	for end := s.now + limit; s.now < end; {
		s.runUntil(s.now + time.Millisecond)
		switch s.poolOwner() {
		case "":
			none += time.Millisecond
		case old:
		default:
			return none
		}
	}
	return limit
}

// Guards against a planned handover that waits for the expiry of the votes, and
// against takeovers after a fault that exceed the required 3 s.
func TestTimeWithoutOwner(t *testing.T) {
	cases := []struct {
		name  string
		fault func(s *sim, owner string)
		limit time.Duration
	}{
		{"resign", func(s *sim, o string) { s.nodes[o].Resign(s.clock(s.nodes[o])) }, 100 * time.Millisecond},
		{"freeze", func(s *sim, o string) { s.nodes[o].frozenUntil = s.now + 10*sec }, 3 * sec},
		{"restart", func(s *sim, o string) { s.restarts++; s.boot(o) }, 3 * sec},
		{"isolated", func(s *sim, o string) { s.isolate(o, true, true) }, 3 * sec},
		{"receives nothing", func(s *sim, o string) { s.isolate(o, true, false) }, 3 * sec},
		{"sends nothing", func(s *sim, o string) {
			for _, name := range s.names {
				s.setBlocked(o, name, true)
			}
		}, 3 * sec},
		{"successor freezes during the handover", func(s *sim, o string) {
			n := s.nodes[o]
			to := n.successor(s.clock(n), "p")
			n.Resign(s.clock(n))
			s.nodes[to].frozenUntil = s.now + 10*sec
		}, 3 * sec},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, owner := startWithOwner(t, 3*time.Millisecond)
			c.fault(s, owner)
			took := s.timeWithoutOwner(owner, 5*sec)
			t.Logf("no owner for %s", took)
			is.True(took <= c.limit)
			is.Equal(s.violation, "")
		})
	}
}

// Guards against a witness that grants an epoch below one announced to it while it
// abstained. It would then ignore the announcements of the owner that it voted for.
func TestGrantRefusesEpochBelowAnnounced(t *testing.T) {
	is := is.New(t)
	n := New(Config{Self: "e", Instances: []string{"a", "b", "c", "d", "e"}, Boot: 1})
	n.HandleHeartbeat(sec, "a", Heartbeat{Boot: 1, Seq: 1, Requests: []Request{{Pool: "p", Epoch: 5, Held: true}}})
	n.ConfirmRevision(3*sec, 3*sec, 0)
	request := func(from string, seq, epoch uint64) Vote {
		return n.HandleHeartbeat(9*sec, from, Heartbeat{Boot: 1, Seq: seq, Requests: []Request{{Pool: "p", Epoch: epoch}}}).Votes[0]
	}
	is.Equal(request("b", 1, 4), Vote{Epoch: 5})
	is.Equal(request("b", 2, 5), Vote{Epoch: 5})
	is.True(request("a", 2, 5).Granted)
}

// Guards against a handover that fails because the first heartbeat with its release
// is lost.
func TestHandoverSurvivesLostHeartbeats(t *testing.T) {
	is := is.New(t)
	s, owner := startWithOwner(t, 3*time.Millisecond)
	o := s.nodes[owner]
	o.Resign(s.clock(o))
	for range 3 {
		is.True(o.Tick(s.clock(o)) || o.HandingOver())
		is.Equal(len(o.NextHeartbeat(s.clock(o)).Releases), 1) // none of them is delivered
	}
	is.True(s.timeWithoutOwner(owner, 5*sec) < 600*time.Millisecond) // by a periodic heartbeat
}

// Guards against a successor that ignores a handover because it has an open round of
// its own, which it cannot win against the owner.
func TestHandoverDuringRound(t *testing.T) {
	is := is.New(t)
	s, owner := startWithOwner(t, 3*time.Millisecond)
	o := s.nodes[owner]
	to := s.nodes[o.successor(s.clock(o), "p")]
	*to.claims["p"] = claim{active: true, epoch: to.highestEpoch("p"), roundStart: s.clock(to)}
	o.Resign(s.clock(o))
	took := s.timeWithoutOwner(owner, 5*sec)
	is.True(took <= 100*time.Millisecond)
	is.Equal(s.poolOwner(), to.name)
}

// Guards against an owner that keeps an epoch below one known to other instances,
// which would refuse its requests forever.
func TestOwnerRaisesOutdatedEpoch(t *testing.T) {
	is := is.New(t)
	s, owner := startWithOwner(t, 3*time.Millisecond)
	for _, name := range s.names {
		if name != owner {
			s.nodes[name].votes["p"] = &vote{epoch: 40}
			break
		}
	}
	s.runUntil(s.now + 2*sec)
	epoch, ok := s.nodes[owner].Holds(s.clock(s.nodes[owner]), "p")
	is.True(ok)
	is.True(epoch > 40)
}

// Guards against a message that changes in encoding and decoding.
func TestEncoding(t *testing.T) {
	is := is.New(t)
	heartbeats := []Heartbeat{
		{Boot: 1, Seq: 2},
		{Boot: 1, Seq: 2, Revision: 3, StampMs: 4, StampCount: 5, Unreached: []string{"b"},
			Requests: []Request{{"p", 1, true, 0}, {"q", 2, false, 1}}, Releases: []Release{{"p", 1, ""}, {"q", 2, "c"}}},
	}
	for _, h := range heartbeats {
		var got Heartbeat
		raw, err := json.Marshal(h)
		is.NoErr(err)
		is.NoErr(json.Unmarshal(raw, &got))
		is.Equal(fmt.Sprint(got), fmt.Sprint(h))
	}
	r := Reply{Revision: 3, Abstains: true, Votes: []Vote{{Granted: true}, {Owner: "a", Epoch: 2}, {}}, Unanswered: []UnansweredPeer{{"b", 9}}}
	var got Reply
	raw, err := json.Marshal(r)
	is.NoErr(err)
	is.NoErr(json.Unmarshal(raw, &got))
	is.Equal(fmt.Sprint(got), fmt.Sprint(r))
}

// Guards against a panic on arbitrary bytes, and against a decoded message that does
// not decode again after encoding.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`[1,2,3,4,5,[["p",1]],["b"],[["p",1,"c"]]]`))
	f.Add([]byte(`[3,1,[1,[2,"a"]],[["b",9]]]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var h Heartbeat
		if json.Unmarshal(raw, &h) == nil {
			again, err := json.Marshal(h)
			var c Heartbeat
			if err != nil || json.Unmarshal(again, &c) != nil {
				t.Fatalf("heartbeat %s encodes to %s: %v", raw, again, err)
			}
			newWitness("e").HandleHeartbeat(10*sec, "a", h)
		}
		var r Reply
		if json.Unmarshal(raw, &r) == nil {
			n := newWitness("e")
			n.NextHeartbeat(10 * sec)
			r.Seq = 1
			n.HandleReply(10*sec, "a", r)
		}
	})
}

// BenchmarkRenewal measures one lease renewal among seven instances: a heartbeat,
// its processing by six witnesses, and the processing of their replies.
func BenchmarkRenewal(b *testing.B) {
	names := []string{"a", "b", "c", "d", "e", "f", "g"}
	nodes := map[string]*Node{}
	for _, name := range names {
		nodes[name] = New(Config{Self: name, Instances: names, Boot: 1})
		nodes[name].ConfirmRevision(3*sec, 3*sec, 0)
	}
	now := 10 * sec
	b.ReportAllocs()
	for b.Loop() {
		now += HeartbeatInterval
		heartbeat := nodes["a"].NextHeartbeat(now)
		for _, name := range names[1:] {
			reply := nodes[name].HandleHeartbeat(now, "a", heartbeat)
			reply.Seq = heartbeat.Seq
			nodes["a"].HandleReply(now, name, reply)
		}
		if !nodes["a"].LeaseValid(now) {
			b.Fatal("no lease")
		}
	}
}
