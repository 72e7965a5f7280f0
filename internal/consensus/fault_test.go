package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
)

func newSeededSim(t *testing.T, n int) *sim {
	return newSim(t, rand.New(rand.NewPCG(1, uint64(n))).IntN, n)
}

// TestLeaderCrash guards against a command that is lost after a quorum has synced it,
// or applied although it was replaced, when the leader crashes at any step of the
// handling of a Ready.
func TestLeaderCrash(t *testing.T) {
	for _, at := range []crashPoint{beforeSync, afterSync, afterSend, afterApply} {
		for _, n := range []int{1, 3} {
			t.Run(fmt.Sprintf("point %d of %d replicas", at, n), func(t *testing.T) {
				s := newSeededSim(t, n)
				s.commitCommands(5)
				l := s.waitLeader()
				s.propose(l)
				s.processReady(l, at)
				s.crash(l)
				s.runTicks(60)
				if n > 1 {
					s.commitCommands(3)
				}
				s.start(l)
				s.commitCommands(3)
				s.checkConverged()
			})
		}
	}
}

// TestIsolatedLeader guards against a leader that does not step down without a quorum,
// and against a replica that disrupts the group when it is connected again after a
// long time.
func TestIsolatedLeader(t *testing.T) {
	is := is.New(t)
	s := newSeededSim(t, 3)
	old := s.waitLeader()
	s.partition[old] = 1
	for range 300 { // commands that only the isolated leader has
		s.propose(old)
	}
	s.processReady(old, noCrash)
	s.runTicks(11)
	is.True(s.replicas[old].node.Role() != Leader) // stepped down within one election timeout
	s.commitCommands(5)
	l := s.leader()
	term := s.replicas[l].node.Term()
	s.runTicks(1000)
	s.compact(l, 0)
	clear(s.partition)
	s.checkConverged()
	is.Equal(s.leader(), l)                   // no election on return
	is.Equal(s.replicas[l].node.Term(), term) // pre-vote changed no term
	is.Equal(s.replicas[old].node.LastIndex(), s.replicas[l].node.LastIndex())
}

// TestReadNeedsQuorum guards against a stale read: an isolated leader serves it while
// the others have committed newer entries.
func TestReadNeedsQuorum(t *testing.T) {
	is := is.New(t)
	s := newSeededSim(t, 3)
	l := s.waitLeader()
	s.read(l)
	s.runTicks(2)
	is.Equal(s.confirmedReads, 1)
	s.partition[l] = 1
	s.read(l)
	s.runTicks(40)
	is.Equal(s.confirmedReads, 1)
	f := s.ids[(slices.Index(s.ids, l)+1)%3]
	is.Equal(s.replicas[f].node.ReadIndex(1) == nil, f == s.leader()) // fails on followers
}

// TestCommitNeedsCurrentTerm guards against an entry of an earlier term that is
// committed because a quorum has it. A later leader could still replace it.
func TestCommitNeedsCurrentTerm(t *testing.T) {
	is := is.New(t)
	m := Membership{Voters: []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	n := New(Config{ID: "a", ElectionTicks: 10, HeartbeatTicks: 2, Random: func(int) int { return 0 }},
		HardState{Term: 2}, Bootstrap(m, nil), []Entry{{Index: 2, Term: 2, Kind: EntryCommand}})
	drain := func() (out []Message) {
		for n.HasReady() {
			rd := n.Ready()
			out = append(out, rd.Messages...)
			n.Advance(rd)
		}
		return out
	}
	for range 11 {
		n.Tick()
	}
	drain()
	n.Step(Message{Type: MsgPreVoteReply, From: "b", To: "a", Term: 3})
	drain()
	n.Step(Message{Type: MsgVoteReply, From: "b", To: "a", Term: 3})
	drain()
	is.Equal(n.Role(), Leader)
	n.Step(Message{Type: MsgAppendReply, From: "b", To: "a", Term: 3, Index: 2})
	is.Equal(n.CommitIndex(), uint64(1))                                        // a quorum has entry 2, but of term 2
	is.Equal(n.ReadIndex(1), ErrNotReady)                                       // commit may lag behind
	is.Equal(n.ProposeChange(Change{AddLearner, Member{ID: "d"}}), ErrNotReady) // changes could overlap
	n.Step(Message{Type: MsgAppendReply, From: "b", To: "a", Term: 3, Index: 3})
	is.Equal(n.CommitIndex(), uint64(3)) // the entry of term 3 commits both
	is.NoErr(n.ProposeChange(Change{AddLearner, Member{ID: "d"}}))
	is.Equal(n.ProposeChange(Change{AddLearner, Member{ID: "e"}}), ErrChangePending)
}

// newFollower returns a follower in term 3 with entries 2 to 5 of term 2.
func newFollower() *Node {
	m := Membership{Voters: []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	var entries []Entry
	for i := uint64(2); i <= 5; i++ {
		entries = append(entries, Entry{Index: i, Term: 2, Kind: EntryCommand})
	}
	return New(Config{ID: "a", ElectionTicks: 10, HeartbeatTicks: 2, Random: func(int) int { return 0 }},
		HardState{Term: 3}, Bootstrap(m, nil), entries)
}

// TestFollowerMessages guards against a follower that commits entries beyond those of
// the leader's message, or keeps entries that conflict with it.
func TestFollowerMessages(t *testing.T) {
	cases := map[string]struct {
		msg          Message
		commit, last uint64
	}{
		"commit beyond the entries of the message": {
			Message{Type: MsgAppend, Index: 2, LogTerm: 2, Commit: 5}, 2, 5},
		"conflicting entries replaced": {
			Message{Type: MsgAppend, Index: 2, LogTerm: 2, Commit: 3, Entries: []Entry{{Index: 3, Term: 3}}}, 3, 3},
		"gap rejected": {
			Message{Type: MsgAppend, Index: 7, LogTerm: 3, Commit: 7}, 1, 5},
		"snapshot that contradicts the log": {
			Message{Type: MsgSnapshot, Index: 4, LogTerm: 3}, 4, 4},
		"snapshot that agrees with the log": {
			Message{Type: MsgSnapshot, Index: 4, LogTerm: 2}, 4, 5},
		"message of an earlier term": {
			Message{Type: MsgAppend, Term: 2, Index: 2, LogTerm: 2, Commit: 5}, 1, 5},
		"message for another identity": {
			Message{Type: MsgAppend, To: "x", Index: 2, LogTerm: 2, Commit: 5}, 1, 5},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newFollower()
			m := tc.msg
			m.From = "b"
			if m.To == "" {
				m.To = "a"
			}
			if m.Term == 0 {
				m.Term = 3
			}
			n.Step(m)
			is.Equal(n.CommitIndex(), tc.commit)
			is.Equal(n.LastIndex(), tc.last)
		})
	}
}

// TestVotes guards against votes for a stale log, two votes in one term, and votes for
// a candidate while a leader is known.
func TestVotes(t *testing.T) {
	vote := Message{Type: MsgVote, Term: 4, Index: 5, LogTerm: 2}
	heartbeat := Message{Type: MsgHeartbeat, Term: 3, From: "c", To: "a"}
	with := func(f func(m *Message)) Message { m := vote; f(&m); return m }
	cases := map[string]struct {
		earlier []Message
		msg     Message
		granted bool
	}{
		"equal log":                 {nil, vote, true},
		"shorter log":               {nil, with(func(m *Message) { m.Index = 4 }), false},
		"log of an earlier term":    {nil, with(func(m *Message) { m.Index, m.LogTerm = 9, 1 }), false},
		"second candidate":          {[]Message{with(func(m *Message) { m.From, m.To = "c", "a" })}, vote, false},
		"leader known":              {[]Message{heartbeat}, vote, false},
		"transfer by the leader":    {[]Message{heartbeat}, with(func(m *Message) { m.LeaderTransfer = true }), true},
		"pre-vote, leader known":    {[]Message{heartbeat}, with(func(m *Message) { m.Type = MsgPreVote }), false},
		"pre-vote, no known leader": {nil, with(func(m *Message) { m.Type = MsgPreVote }), true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newFollower()
			for _, m := range tc.earlier {
				n.Step(m)
			}
			n.Advance(n.Ready())
			tc.msg.From, tc.msg.To = "b", "a"
			n.Step(tc.msg)
			rd := n.Ready()
			granted := len(rd.Messages) == 1 && !rd.Messages[0].Reject
			is.Equal(granted, tc.granted)
			is.Equal(rd.HardState != nil && rd.HardState.Vote == "b", granted && tc.msg.Type == MsgVote) // durable before it is sent
		})
	}
}

// TestDiskLost guards against a group that stops or loses entries when its disks are
// lost one after the other and each is replaced under a new identity.
func TestDiskLost(t *testing.T) {
	is := is.New(t)
	s := newSeededSim(t, 3)
	s.commitCommands(20)
	s.compact(s.waitLeader(), 0)
	for i, failed := range []string{"r1", "r0", "r2"} {
		s.crash(failed)
		s.runTicks(60)
		replacement := fmt.Sprintf("new%d", i)
		s.addReplica(replacement)
		for _, c := range []Change{{AddLearner, Member{replacement, failed}}, {Remove, Member{failed, failed}}, {Promote, Member{replacement, failed}}} {
			is.NoErr(s.replicas[s.waitLeader()].node.ProposeChange(c))
			s.commitCommands(2)
		}
	}
	s.checkConverged()
	voters := s.replicas[s.leader()].node.Members().Voters
	is.Equal(len(voters), 3)
	for _, v := range voters {
		is.Equal(v.ID[:3], "new")
		is.True(s.replicas[v.ID].applied > 20)
	}
}

// TestMembershipChanges guards against invalid changes, such as two entries for one
// replica or a group without a voter.
func TestMembershipChanges(t *testing.T) {
	m := Membership{Voters: []Member{{ID: "a"}, {ID: "b"}}, Learners: []Member{{ID: "l"}}}
	single := Membership{Voters: []Member{{ID: "a"}}}
	cases := map[string]struct {
		from   Membership
		change Change
		ok     bool
	}{
		"add":                     {m, Change{AddLearner, Member{ID: "x"}}, true},
		"add a voter again":       {m, Change{AddLearner, Member{ID: "a"}}, false},
		"add without id":          {m, Change{AddLearner, Member{}}, false},
		"promote":                 {m, Change{Promote, Member{ID: "l"}}, true},
		"promote unknown replica": {m, Change{Promote, Member{ID: "x"}}, false},
		"remove":                  {m, Change{Remove, Member{ID: "b"}}, true},
		"remove last voter":       {single, Change{Remove, Member{ID: "a"}}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			out, ok := tc.from.apply(tc.change)
			is.Equal(ok, tc.ok)
			is.True(len(out.Voters) >= 1)
		})
	}
}

// TestTransfer guards against a planned stop of the leader that leaves the group
// without a leader for an election timeout.
func TestTransfer(t *testing.T) {
	is := is.New(t)
	s := newSeededSim(t, 3)
	s.commitCommands(5)
	l := s.waitLeader()
	is.True(s.replicas[l].node.TransferLeadership())
	_, _, err := s.replicas[l].node.Propose(nil)
	is.True(errors.Is(err, ErrTransferring))
	s.runTicks(3)
	is.True(s.leader() != "" && s.leader() != l)
	s.commitCommands(5)
	s.checkConverged()
	is.True(!newSeededSim(t, 1).replicas["r0"].node.TransferLeadership()) // no other voter
}

// FuzzDecodeMessage guards against panics and unbounded memory on malformed
// messages, and against a decoded message that encodes differently.
func FuzzDecodeMessage(f *testing.F) {
	f.Add(EncodeMessage(Message{Type: MsgAppend, From: "a", To: "b", Term: 3, Entries: []Entry{{Index: 1, Term: 1, Data: []byte("x")}}}))
	f.Add(EncodeMessage(Message{Type: MsgSnapshot, Chunk: []byte("y"), Members: Membership{Voters: []Member{{"i", "n"}}}}))
	f.Add([]byte{byte(MsgVote), 0, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeMessage(b)
		if err != nil {
			return
		}
		again, err := DecodeMessage(EncodeMessage(m))
		if err != nil || fmt.Sprint(again) != fmt.Sprint(m) {
			t.Fatalf("%+v decodes to %+v, %v", m, again, err)
		}
	})
}

// TestRemovedVoterCampaigns guards against a group that can elect no leader because only
// a voter whose removal is not committed has the newest log.
func TestRemovedVoterCampaigns(t *testing.T) {
	is := is.New(t)
	two, one := []Member{{ID: "a"}, {ID: "b"}}, []Member{{ID: "b"}}
	entries := []Entry{
		{Index: 2, Term: 1, Kind: EntryMembers, Data: EncodeMembership(Membership{Voters: two})},
		{Index: 3, Term: 1, Kind: EntryMembers, Data: EncodeMembership(Membership{Voters: one})},
	}
	n := New(Config{ID: "a", ElectionTicks: 10, HeartbeatTicks: 2, Random: func(int) int { return 0 }},
		HardState{Term: 1}, Bootstrap(Membership{Voters: one}, nil), entries)
	for range 11 {
		n.Tick()
	}
	is.Equal(n.Role(), PreCandidate)
	n.Step(Message{Type: MsgHeartbeat, From: "b", To: "a", Term: 2, Commit: 3})
	for range 11 {
		n.Tick()
	}
	is.Equal(n.Role(), Follower) // the removal is committed
}

// TestRestartAllReplicas guards against a group that waits for a whole election timeout
// after all its replicas were stopped, although none of them can have a leader.
func TestRestartAllReplicas(t *testing.T) {
	is := is.New(t)
	s := newSeededSim(t, 5)
	s.commitCommands(3)
	s.initialElectionTicks = 3
	for _, id := range s.ids {
		s.crash(id)
	}
	s.network = nil
	for _, id := range s.ids[1:] {
		s.start(id)
	}
	s.runTicks(8) // less than the 10 ticks of the shortest usual timeout
	is.True(s.leader() != "")
	s.start(s.ids[0]) // the last one does not disrupt the others
	l := s.leader()
	s.runTicks(30)
	is.Equal(s.leader(), l)
	s.commitCommands(3)
	s.checkConverged()
}
