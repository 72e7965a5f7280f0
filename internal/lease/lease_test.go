package lease

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const sec = time.Second

// ready returns a node of five that is a witness with an empty memory at 10 s.
func ready(self string) *Node {
	n := New(Config{Self: self, Instances: []string{"a", "b", "c", "d", "e"}, Boot: 1})
	n.Confirm(3*sec, 3*sec, 0)
	return n
}

// Guards against a witness that grants a pool to two instances, an epoch to two
// owners, or votes to an instance to which nobody handed them over.
func TestGrant(t *testing.T) {
	held := vote{owner: "a", boot: 1, epoch: 5, until: 11 * sec}
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
			n := ready("e")
			copied := held
			n.votes["p"] = &copied
			reply := n.OnBeat(c.now, c.from, Beat{Boot: c.boot, Seq: 1, Requests: []Request{{Pool: "p", Epoch: c.epoch, After: c.after}}})
			is.Equal(reply.Votes, []Vote{c.want})
		})
	}
}

// Guards against a late beat that undoes a release, and against a release by an
// instance that is not the owner.
func TestReleaseOrder(t *testing.T) {
	is := is.New(t)
	n := ready("e")
	ask := Beat{Boot: 1, Seq: 1, Requests: []Request{{Pool: "p", Epoch: 1}}}
	is.True(n.OnBeat(10*sec, "a", ask).Votes[0].Granted)
	n.OnBeat(10*sec, "b", Beat{Boot: 1, Seq: 1, Releases: []Release{{Pool: "p", Epoch: 1}}})
	is.True(!n.votes["p"].free(10 * sec)) // b is not the owner
	n.OnBeat(10*sec, "a", Beat{Boot: 1, Seq: 3, Releases: []Release{{Pool: "p", Epoch: 1}}})
	is.True(n.votes["p"].free(10 * sec))
	ask.Seq = 2
	is.True(!n.OnBeat(10*sec, "a", ask).Votes[0].Granted) // late
	is.True(n.votes["p"].free(10 * sec))
}

// Guards against a restarted witness whose answers count before its old grants
// have expired or before it has caught up.
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
		{"nothing known", 4, 3 * sec, nil, 0, 0, 4 * sec, false},
		{"read too early", 4, 3 * sec, nil, 2 * sec, 4, 4 * sec, false},
		{"confirmed read", 4, 3 * sec, nil, 3 * sec, 4, 4 * sec, true},
		{"view behind the read", 3, 3 * sec, nil, 3 * sec, 4, 4 * sec, false},
		{"majority", 4, 3 * sec, majority, 0, 0, 4 * sec, true},
		{"majority asked too early", 4, 2 * sec, majority, 0, 0, 4 * sec, false},
		{"view behind the majority", 3, 3 * sec, majority, 0, 0, 4 * sec, false},
		{"majority not of witnesses", 4, 3 * sec, abstaining, 0, 0, 4 * sec, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := New(Config{Self: "e", Instances: []string{"a", "b", "c", "d", "e"}, Boot: 1})
			n.SetRevision(0, c.own)
			n.Beat(c.sent)
			for from, r := range c.replies {
				r.Seq = 1
				n.OnReply(c.sent, from, r)
			}
			if c.readAt > 0 {
				n.Confirm(c.readAt, c.readAt, c.readRev)
			}
			n.Tick(c.now)
			is.Equal(n.Witness(c.now), c.expected)
			is.Equal(n.OnBeat(c.now, "a", Beat{Boot: 1, Seq: 1}).Abstains, !c.expected)
			is.True(!n.Witness(2 * sec)) // never before the restart time
		})
	}
}

// Guards against a lease without a majority, with a view older than the
// majority's, beyond its time, or counted from the reply instead of the beat.
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
			n := ready("e")
			n.SetRevision(9*sec, c.own)
			n.Beat(10 * sec)
			for i, r := range c.replies {
				r.Seq = 1
				n.OnReply(11*sec, n.cfg.Instances[i], r)
				n.OnReply(11*sec, n.cfg.Instances[i], r) // doubled
			}
			is.Equal(n.Valid(11*sec), c.want)
			n.SetRevision(11*sec, 4)
			is.Equal(n.Valid(10*sec+HolderTime-1), len(c.replies) > 1 && !c.replies[1].Abstains) // caught up later
			is.True(!n.Valid(10*sec + HolderTime))                                               // e.g. after a freeze
			for i := range c.replies {
				n.OnReply(13*sec, n.cfg.Instances[i], Reply{Seq: 1, Revision: 4})
			}
			is.True(!n.Valid(13 * sec)) // replies after the end gain nothing
		})
	}
}

// Guards against a revision that counts although the peer may have lost it.
func TestRevisionExpires(t *testing.T) {
	is := is.New(t)
	n := ready("e")
	n.Beat(10 * sec)
	n.OnReply(11*sec, "a", Reply{Seq: 1, Revision: 4})
	is.Equal(n.Revision(10*sec+ReportLife, "a"), uint64(4))
	is.Equal(n.Revision(10*sec+ReportLife+1, "a"), uint64(0)) // counted from the beat
	is.Equal(n.Revision(10*sec, "b"), uint64(0))
}

// Guards against a revision that is proved only half a second later, and against
// instances that answer beats with beats while replies are lost.
func TestNewRevisionPrompts(t *testing.T) {
	is := is.New(t)
	n := ready("e")
	n.Beat(10 * sec)
	n.OnReply(10*sec, "a", Reply{Seq: 1, Revision: 4})
	n.Tick(10 * sec)
	for i, want := range []bool{true, false, false} {
		n.OnBeat(10*sec, "a", Beat{Boot: 1, Seq: uint64(i + 1), Revision: 5})
		is.Equal(n.Tick(10*sec), want)
	}
	n.OnBeat(10*sec, "a", Beat{Boot: 2, Seq: 1, Revision: 5}) // restarted meanwhile
	is.True(n.Tick(10 * sec))
}

// Guards against a dead peer that blocks a new owner, and against a living one
// declared dead because a minority has lost contact with it.
func TestMayHoldLease(t *testing.T) {
	silent := func(ms uint64) []Quiet { return []Quiet{{"a", ms}} }
	cases := []struct {
		name  string
		quiet map[string][]Quiet
		now   time.Duration
		want  bool
	}{
		{"nobody else reports it", map[string][]Quiet{"b": nil, "c": nil}, 10 * sec, true},
		{"minority", map[string][]Quiet{"b": silent(5000), "c": nil}, 10 * sec, true},
		{"majority", map[string][]Quiet{"b": silent(5000), "c": silent(2100)}, 10 * sec, false},
		{"majority, too short", map[string][]Quiet{"b": silent(5000), "c": silent(1900)}, 10 * sec, true},
		{"majority, old reports", map[string][]Quiet{"b": silent(5000), "c": silent(5000)}, 12 * sec, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := ready("e") // has answered nobody since its start at 0 s
			n.Beat(10 * sec)
			for from, q := range c.quiet {
				n.OnReply(10*sec, from, Reply{Seq: 1, Quiet: q})
			}
			is.Equal(n.MayHoldLease(c.now, "a"), c.want)
			is.True(n.MayHoldLease(c.now, "unknown"))
		})
	}
}

// settled returns a simulation of five nodes without faults after 8 s, and the
// owner of pool p.
func settled(t *testing.T, delay time.Duration) (*sim, string) {
	t.Helper()
	s := newSim(7, []float64{1, 1, 1, 1, 1}, "p")
	s.delay = delay
	s.runUntil(8 * sec)
	name := s.holder()
	if name == "" {
		t.Fatal("no owner after 8 s")
	}
	return s, name
}

func (s *sim) holder() string {
	for _, name := range s.names {
		if _, ok := s.nodes[name].Holds(s.clock(s.nodes[name]), "p"); ok {
			return name
		}
	}
	return ""
}

// gap runs in small steps until another instance than old holds the pool, and
// returns how long none did.
func (s *sim) gap(old string, limit time.Duration) time.Duration {
	none := time.Duration(0)
	for end := s.now + limit; s.now < end; {
		s.runUntil(s.now + time.Millisecond)
		switch s.holder() {
		case "":
			none += time.Millisecond
		case old:
		default:
			return none
		}
	}
	return limit
}

// Guards against a planned handover that waits for the votes to expire, and
// against takeovers beyond the 3 s of section 1.
func TestOwnershipPasses(t *testing.T) {
	cases := []struct {
		name  string
		do    func(s *sim, owner string)
		limit time.Duration
	}{
		{"resign", func(s *sim, o string) { s.nodes[o].Resign(s.clock(s.nodes[o])) }, 100 * time.Millisecond},
		{"freeze", func(s *sim, o string) { s.nodes[o].frozen = s.now + 10*sec }, 3 * sec},
		{"restart", func(s *sim, o string) { s.restarts++; s.boot(o) }, 3 * sec},
		{"isolated", func(s *sim, o string) { s.isolate(o, true, true) }, 3 * sec},
		{"hears nobody", func(s *sim, o string) { s.isolate(o, true, false) }, 3 * sec},
		{"heard by nobody", func(s *sim, o string) {
			for _, name := range s.names {
				s.setCut(o, name, true)
			}
		}, 3 * sec},
		{"successor dies during the handover", func(s *sim, o string) {
			n := s.nodes[o]
			to := n.successor(s.clock(n), "p")
			n.Resign(s.clock(n))
			s.nodes[to].frozen = s.now + 10*sec
		}, 3 * sec},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, owner := settled(t, 3*time.Millisecond)
			c.do(s, owner)
			took := s.gap(owner, 5*sec)
			t.Logf("no owner for %s", took)
			is.True(took <= c.limit)
			is.Equal(s.fault, "")
		})
	}
}

// Guards against a witness that helps an owner to an epoch below one that it
// heard of while it abstained, and then never believes that owner.
func TestAnnouncedEpoch(t *testing.T) {
	is := is.New(t)
	n := New(Config{Self: "e", Instances: []string{"a", "b", "c", "d", "e"}, Boot: 1})
	n.OnBeat(sec, "a", Beat{Boot: 1, Seq: 1, Requests: []Request{{Pool: "p", Epoch: 5, Held: true}}})
	n.Confirm(3*sec, 3*sec, 0)
	ask := func(from string, seq, epoch uint64) Vote {
		return n.OnBeat(9*sec, from, Beat{Boot: 1, Seq: seq, Requests: []Request{{Pool: "p", Epoch: epoch}}}).Votes[0]
	}
	is.Equal(ask("b", 1, 4), Vote{Epoch: 5})
	is.Equal(ask("b", 2, 5), Vote{Epoch: 5})
	is.True(ask("a", 2, 5).Granted)
}

// Guards against a handover that is lost with the one beat that told it.
func TestHandoverRepeats(t *testing.T) {
	is := is.New(t)
	s, owner := settled(t, 3*time.Millisecond)
	o := s.nodes[owner]
	o.Resign(s.clock(o))
	for range 3 {
		is.True(o.Tick(s.clock(o)) || o.HandingOver())
		is.Equal(len(o.Beat(s.clock(o)).Releases), 1) // none of them is delivered
	}
	is.True(s.gap(owner, 5*sec) < 600*time.Millisecond) // by a periodic beat
}

// Guards against a successor that ignores a handover because it still waits for
// the votes of a round that it lost against the owner.
func TestHandoverDuringRound(t *testing.T) {
	is := is.New(t)
	s, owner := settled(t, 3*time.Millisecond)
	o := s.nodes[owner]
	to := s.nodes[o.successor(s.clock(o), "p")]
	*to.claims["p"] = claim{active: true, epoch: to.highest("p"), asked: s.clock(to)}
	o.Resign(s.clock(o))
	took := s.gap(owner, 5*sec)
	is.True(took <= 100*time.Millisecond)
	is.Equal(s.holder(), to.name)
}

// Guards against an owner with an epoch below one that other instances know,
// whose grants they would refuse for ever.
func TestEpochRises(t *testing.T) {
	is := is.New(t)
	s, owner := settled(t, 3*time.Millisecond)
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

// Guards against a message that decodes to something else than was encoded.
func TestEncoding(t *testing.T) {
	is := is.New(t)
	beats := []Beat{
		{Boot: 1, Seq: 2},
		{Boot: 1, Seq: 2, Revision: 3, StampMs: 4, StampCount: 5, Unreached: []string{"b"},
			Requests: []Request{{"p", 1, true, 0}, {"q", 2, false, 1}}, Releases: []Release{{"p", 1, ""}, {"q", 2, "c"}}},
	}
	for _, b := range beats {
		var got Beat
		raw, err := json.Marshal(b)
		is.NoErr(err)
		is.NoErr(json.Unmarshal(raw, &got))
		is.Equal(fmt.Sprint(got), fmt.Sprint(b))
	}
	r := Reply{Revision: 3, Abstains: true, Votes: []Vote{{Granted: true}, {Owner: "a", Epoch: 2}, {}}, Quiet: []Quiet{{"b", 9}}}
	var got Reply
	raw, err := json.Marshal(r)
	is.NoErr(err)
	is.NoErr(json.Unmarshal(raw, &got))
	is.Equal(fmt.Sprint(got), fmt.Sprint(r))
}

// Guards against a panic and against an unstable encoding on arbitrary bytes.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`[1,2,3,4,5,[["p",1]],["b"],[["p",1,"c"]]]`))
	f.Add([]byte(`[3,1,[1,[2,"a"]],[["b",9]]]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var b Beat
		if json.Unmarshal(raw, &b) == nil {
			again, err := json.Marshal(b)
			var c Beat
			if err != nil || json.Unmarshal(again, &c) != nil {
				t.Fatalf("beat %s encodes to %s: %v", raw, again, err)
			}
			ready("e").OnBeat(10*sec, "a", b)
		}
		var r Reply
		if json.Unmarshal(raw, &r) == nil {
			n := ready("e")
			n.Beat(10 * sec)
			r.Seq = 1
			n.OnReply(10*sec, "a", r)
		}
	})
}

// BenchmarkRenewal measures one renewal among seven instances: a beat, the
// answers of six witnesses, and the evaluation of their replies.
func BenchmarkRenewal(b *testing.B) {
	names := []string{"a", "b", "c", "d", "e", "f", "g"}
	nodes := map[string]*Node{}
	for _, name := range names {
		nodes[name] = New(Config{Self: name, Instances: names, Boot: 1})
		nodes[name].Confirm(3*sec, 3*sec, 0)
	}
	now := 10 * sec
	b.ReportAllocs()
	for b.Loop() {
		now += BeatInterval
		beat := nodes["a"].Beat(now)
		for _, name := range names[1:] {
			reply := nodes[name].OnBeat(now, "a", beat)
			reply.Seq = beat.Seq
			nodes["a"].OnReply(now, name, reply)
		}
		if !nodes["a"].Valid(now) {
			b.Fatal("no lease")
		}
	}
}
