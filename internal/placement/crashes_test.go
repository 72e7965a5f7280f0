package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"nutmegrouter/internal/api"
)

const (
	deadlyPart PartID = 0xdead
	rootPart   PartID = 0x1007
)

// generatePrompts schedules requests whose prompts all begin with rootPart. A share of them holds
// deadlyPart, the others one of a number of documents.
func (s *sim) generatePrompts(perSecond, deadlyShare float64, documents int, from, to time.Duration) {
	s.generateSessionPrompts(perSecond, deadlyShare, documents, 0, from, to)
}

// generateSessionPrompts is generatePrompts with the requests of a number of sessions, each of which has one last
// prompt part. Without documents deadlyPart is the last part of one session.
func (s *sim) generateSessionPrompts(perSecond, deadlyShare float64, documents, sessions int, from, to time.Duration) {
	for at := from; at < to; at += time.Duration(s.rng.ExpFloat64() / perSecond * float64(time.Second)) {
		s.number++
		n, second, last := s.number, hashPart("document", s.rng.IntN(max(1, documents))), hashPart("own", int(s.number))
		if sessions > 0 {
			last = hashPart("session", s.rng.IntN(sessions))
		}
		if deadly := s.rng.Float64() < deadlyShare; deadly && documents > 0 {
			second = deadlyPart
		} else if deadly {
			last = deadlyPart
		}
		k := Key{Entry: fmt.Sprint("n", n%numEntries), Number: n}
		req := Request{
			Service: "m", Workspace: "w", PromptTokens: 1200, OutputTokens: 200,
			Prompt:    []Part{{rootPart, 500}, {second, 500}, {last, 200}},
			Objective: time.Second, Deadline: 15 * time.Second, RouteObjective: time.Second, Hash: RequestHash(n), CallerDeadline: 15 * time.Second,
		}
		if s.sameHash {
			req.Hash = RequestHash(last)
		}
		s.after(at-s.now, func() {
			s.calls[k] = &call{request: req, workspace: "w", kind: "draft", submittedAt: s.now}
			s.ask(k, req)
		})
	}
}

// lateDeadlyStarts returns how many requests with the deadly part reached engines later than three
// seconds after the fifth crash.
func (s *sim) lateDeadlyStarts() (n int) {
	for _, at := range s.deadlyStarts {
		if len(s.crashes) >= 5 && at > s.crashes[4]+3*second {
			n++
		}
	}
	return n
}

// Guards against requests that crash one target after the other: three seconds after the fifth
// crash no more than three requests with the part may reach targets, and sound requests that share
// the first part are served.
func TestPartThatCrashesTargetsIsBlocked(t *testing.T) {
	for _, share := range []float64{0.01, 0.02, 0.05, 0.3} {
		for seed := range uint64(5) {
			is := is.New(t)
			s := newSim(seed, 18, 64, 400_000, 400_000)
			s.tick()
			s.deadly = deadlyPart
			s.generatePrompts(60, share, 125, 0, 40*second)
			s.run(50 * second)
			late := s.lateDeadlyStarts()
			sound := s.summarize(20*second, 40*second, func(c *call) bool { return !hasPart(c.request.Prompt, deadlyPart) })
			t.Logf("share %v seed %d: %d crashes, %d requests reached targets late, sound: %+v", share, seed, len(s.crashes), late, sound)
			is.True(late <= 3)
			is.True(sound.started*10 >= sound.asked*9)
			blocked := s.owner.BlockedParts(s.now)
			is.Equal(len(blocked), 1) // neither the first part nor a document
			is.Equal(blocked[0].Part, deadlyPart)
		}
	}
}

// Guards against a session that crashes one target after the other with each of its requests: its own part, which is
// the last one of its prompts, must be blocked as any other, and none that sound sessions have. Where the deadly part is
// shared by sessions, their own parts must not keep it from being found.
func TestSessionThatCrashesTargetsIsBlocked(t *testing.T) {
	for _, x := range []struct {
		deadlyShare float64
		documents   int
		sameHash    bool
	}{{0.01, 0, false}, {0.01, 0, true}, {0.05, 0, false}, {0.02, 125, false}, {0.05, 125, false}} {
		for seed := range uint64(5) {
			is := is.New(t)
			s := newSim(seed, 18, 64, 400_000, 400_000)
			s.tick()
			s.deadly, s.sameHash = deadlyPart, x.sameHash
			s.generateSessionPrompts(60, x.deadlyShare, x.documents, 100, 0, 40*second)
			s.run(50 * second)
			late := s.lateDeadlyStarts()
			sound := s.summarize(20*second, 40*second, func(c *call) bool { return !hasPart(c.request.Prompt, deadlyPart) })
			blocked := s.owner.BlockedParts(s.now)
			t.Logf("%+v seed %d: %d crashes, %d requests reached targets late, sound: %+v", x, seed, len(s.crashes), late, sound)
			is.True(late <= 3)
			is.True(sound.started*10 >= sound.asked*9)
			is.Equal(len(blocked), 1)
			is.Equal(blocked[0].Part, deadlyPart)
		}
	}
}

// Guards against blame that rests on one request, whose caller comes back with it, and against a session that goes
// unblamed because its requests are taken for one.
func TestDistinctRequestsOfSession(t *testing.T) {
	is := is.New(t)
	crash := func(id func(n int) RequestIdentity) (blocked []PartID) {
		c := newCrashTracker()
		for n := range 100 {
			c.recordAnswered(prompt(7, PartID(n)), 0)
		}
		for n := range maxCrashes {
			r := failedRequest{id(n), prompt(7, 99)}
			blocked = append(blocked, c.recordCrash(fmt.Sprint("t", n), time.Duration(n+1)*2*second, r)...)
			c.recordAnswered(prompt(7, 1), time.Duration(n+1)*2*second+second)
		}
		return blocked
	}
	is.Equal(len(crash(func(int) RequestIdentity { return RequestIdentity{5, 60 * second} })), 0)                // one request
	is.Equal(len(crash(func(int) RequestIdentity { return RequestIdentity{Hash: 5} })), 0)                       // it may be one
	is.Equal(crash(func(n int) RequestIdentity { return RequestIdentity{Hash: RequestHash(n)} })[0], PartID(99)) // URLs of their own
	is.Equal(crash(func(n int) RequestIdentity { return RequestIdentity{5, time.Duration(20+2*n) * second} })[0], PartID(99))
}

// Guards against a part that is blamed for the loss of all targets at once, after which nothing is
// answered for a while.
func TestLossOfAllTargetsBlamesNoPart(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		s := newSim(seed, 12, 64, 400_000, 400_000)
		s.tick()
		s.generatePrompts(60, 0, 30, 0, 40*second)
		for at := 5 * second; at < 35*second; at += 8 * second {
			for _, e := range s.engines {
				s.after(at, func() { s.crash(e) })
			}
		}
		s.run(50 * second)
		is.Equal(s.owner.crashes.version, uint64(0))
	}
}

// Guards against a part that is blamed for targets that fail for their own reasons: one that many
// requests share, and one of which there are few requests.
func TestFailingTargetsBlameNoPart(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		s := newSim(seed, 12, 64, 400_000, 400_000)
		s.tick()
		s.failShare = 0.3
		s.generatePrompts(60, 0, 300, 0, 60*second)
		for at := 5 * second; at < 55*second; at += 4 * second { // targets crash, too
			e := s.engines[fmt.Sprintf("e%02d", int(at/second)%12)]
			s.after(at, func() {
				if !e.unreachable {
					s.crash(e)
				}
			})
		}
		s.run(65 * second)
		blocked := s.owner.BlockedParts(s.now)
		is.Equal(len(blocked), 0)
		is.Equal(s.owner.crashes.version, uint64(0)) // nor was one blocked meanwhile
	}
}

func prompt(ids ...PartID) []Part {
	out := make([]Part, len(ids))
	for i, id := range ids {
		out[i] = Part{ID: id, Tokens: 100}
	}
	return out
}

// failed returns a failed request whose last prompt part no other request has.
func failed(prompt []Part) failedRequest {
	return failedRequest{RequestIdentity{Hash: RequestHash(prompt[len(prompt)-1].ID)}, prompt}
}

// blockPart crashes targets with a part until it is blocked.
func blockPart(is *is.I, c *crashTracker, now time.Duration) {
	for n := range maxCrashes {
		at := now - time.Duration(maxCrashes-n)*100*time.Millisecond
		if blocked := c.recordCrash(fmt.Sprint("t", n), at, failed(prompt(deadlyPart, PartID(1000+n)))); len(blocked) > 0 {
			is.Equal(blocked, []PartID{deadlyPart})
			return
		}
	}
	is.Fail()
}

// Guards against a part that stays blamed after it has become sound, and against one whose trials
// crash a target each minute.
func TestBlockedPartIsTriedAgain(t *testing.T) {
	is := is.New(t)
	c := newCrashTracker()
	for n := range 100 {
		c.recordAnswered(prompt(7, PartID(n)), 0)
	}
	blockPart(is, c, second)
	now := second
	passed := func() bool { _, refused := c.refuses(prompt(deadlyPart, 5), now); return !refused }
	is.True(!passed())
	now += initialBlockTime
	is.True(passed())  // the trial
	is.True(!passed()) // one at a time
	is.Equal(c.recordCrash("t9", now+second, failed(prompt(deadlyPart, 5))), []PartID{deadlyPart})
	is.Equal(c.recordCrash("t9", now+second, failed(prompt(deadlyPart, 6))), nil) // a bystander
	now += second + 2*initialBlockTime - time.Millisecond
	is.True(!passed()) // for twice as long
	now += time.Millisecond
	is.True(passed())
	now += trialTime
	is.True(passed()) // a trial without a result is repeated
	c.recordAnswered(prompt(deadlyPart, 5), now)
	is.True(passed())
	is.True(passed())
	is.Equal(len(c.blockedParts(now)), 0)
}

// Guards against blame that rests on one request or on one target's crash, whose bystanders all
// fail at once.
func TestOneCrashBlamesNoPart(t *testing.T) {
	is := is.New(t)
	c := newCrashTracker()
	for n := range 50 { // bystanders of one crash
		is.Equal(len(c.recordCrash("t1", second, failed(prompt(rootPart, PartID(n))))), 0)
	}
	for n := range 50 { // one request that is repeated
		is.Equal(len(c.recordCrash(fmt.Sprint("t", n), second, failed(prompt(2, 99)))), 0)
	}
}

// Guards against a part that goes unblamed because of bystanders of earlier crashes, of whose parts
// no request has come since.
func TestBystandersDoNotShieldPart(t *testing.T) {
	is := is.New(t)
	c := newCrashTracker()
	for n := range 100 {
		c.recordAnswered(prompt(7, PartID(n)), 0)
	}
	var blocked []PartID
	for n := range 4 {
		crashed := []failedRequest{failed(prompt(deadlyPart, PartID(1000+n)))}
		if n < 2 { // two bystanders, which are repeated once
			crashed = append(crashed, failed(prompt(8, 1)), failed(prompt(8, 2)))
		}
		blocked = append(blocked, c.recordCrash(fmt.Sprint("t", n), time.Duration(n+1)*2*second, crashed...)...)
	}
	is.Equal(blocked, []PartID{deadlyPart})
	is.True(c.suspects[deadlyPart].crashes <= minCrashes+1)
}

// Guards against false suspects without a bound in memory, and against those that keep a part that
// crashes targets from being found.
func TestManySuspectsStayBounded(t *testing.T) {
	is := is.New(t)
	c := newCrashTracker()
	for n := range 20 * maxSuspects {
		c.recordCrash(fmt.Sprint("f", n), time.Duration(n)*time.Millisecond, failed(prompt(PartID(10_000+n), 1)))
		c.recordAnswered(prompt(3, 4), time.Duration(n)*time.Millisecond)
	}
	is.True(len(c.suspects) <= maxSuspects)
	blockPart(is, c, 20*maxSuspects*time.Millisecond)
	now := 20 * maxSuspects * time.Millisecond
	for n := range 2 * maxBlocked { // many parts that look deadly
		for i := range 10 {
			c.recordCrash(fmt.Sprint("g", i), now+time.Duration(i)*100*time.Millisecond, failed(prompt(PartID(500_000+n), PartID(i))))
		}
	}
	is.Equal(c.numBlocked, maxBlocked)
	is.True(len(c.blockedParts(now)) <= maxBlocked)
	_, refused := c.refuses(prompt(deadlyPart, 1), now)
	is.True(refused)
	now += 2 * initialBlockTime // the blocks have ended, and no request with those parts has come
	for i := range 10 {
		c.recordCrash(fmt.Sprint("h", i), now+time.Duration(i)*100*time.Millisecond, failed(prompt(900_000, PartID(i))))
	}
	_, refused = c.refuses(prompt(900_000, 1), now+second)
	is.True(refused) // they keep no other part from being blocked
}

// Guards against silence that is not seen as a crash, and against slow targets that are.
func TestSilentTargetCountsAsCrashed(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 12, 64, 400_000, 400_000)
	req := Request{Service: "m", Workspace: "w", PromptTokens: 100, OutputTokens: 10, Objective: second, Deadline: 3 * second, RouteObjective: second}
	timeOut := func(n uint64, part PartID, othersAnswered bool) {
		k, other := Key{"e", n}, Key{"e", n + 100}
		target := fmt.Sprintf("e%02d", n%12)
		req.Prompt, req.Hash = prompt(part, PartID(1000+n)), RequestHash(1000+n)
		s.owner.AddRunning(k, req, target, false, false, 0, s.now)
		s.now += second
		if othersAnswered {
			req.Prompt, req.Hash = prompt(9, PartID(2000+n)), RequestHash(2000+n)
			s.owner.AddRunning(other, req, target, false, false, 0, s.now)
			s.owner.RecordFirstEvent(other, s.now)
			s.owner.End(other, api.AttemptServed, s.now)
		}
		s.owner.End(k, api.AttemptTimedOut, s.now)
	}
	for n := range uint64(2 * maxCrashes) {
		timeOut(n, 5, true)
	}
	is.Equal(s.owner.crashes.numBlocked, 0)
	for n := range uint64(2 * maxCrashes) {
		timeOut(50+n, 6, false)
	}
	blocked := s.owner.BlockedParts(s.now)
	is.Equal(len(blocked), 1)
	is.Equal(blocked[0].Part, PartID(6))
}

// Guards against a new owner that lets targets crash again with a part that the former one had
// blocked.
func TestNewOwnerKeepsBlockedParts(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 4, 64, 400_000, 400_000)
	s.owner.MergeBlocked([]BlockedPart{{deadlyPart, 20 * second}}, 0)
	s.owner.MergeBlocked([]BlockedPart{{deadlyPart, 10 * second}}, 0) // another entry instance reports it, too
	k := Key{"e", 1}
	s.calls[k] = &call{}
	req := Request{Service: "m", Prompt: prompt(rootPart, deadlyPart, 3), Objective: second, Deadline: 10 * second, RouteObjective: second}
	s.owner.Submit(k, req, second)
	d := s.owner.Decisions()
	is.Equal(len(d), 1)
	is.Equal(d[0].Code, CodePartCrashes)
	is.Equal(d[0].RetryAfter, 19*second)
}

// Guards against blame against the evidence, in any order of crashes and answers.
func TestCrashTrackerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCrashTracker()
		now := time.Duration(0)
		requests := map[PartID]map[PartID]bool{} // since the last answer, by part
		trials := map[PartID]int{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond
			p := prompt(PartID(rapid.IntRange(1, 4).Draw(t, "first")), PartID(rapid.IntRange(5, 8).Draw(t, "second")), PartID(rapid.IntRange(100, 120).Draw(t, "own")))
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				blocked := c.recordCrash(fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "target")), now, failed(p))
				for _, part := range p[:2] {
					if requests[part.ID] == nil {
						requests[part.ID] = map[PartID]bool{}
					}
					requests[part.ID][p[2].ID] = true
				}
				for _, id := range blocked {
					if id >= 100 || len(requests[id]) < minCrashRequests {
						t.Fatalf("part %d blocked after crashes with %d requests", id, len(requests[id]))
					}
				}
			case 1:
				c.recordAnswered(p, now)
				delete(requests, p[0].ID)
				delete(requests, p[1].ID)
				if _, refused := c.refuses(p, now); refused {
					t.Fatal("refused although a target has answered the request")
				}
			case 2:
				if _, refused := c.refuses(p, now); !refused {
					for _, part := range p[:2] {
						if s := c.suspects[part.ID]; s != nil && s.blocked {
							trials[part.ID]++
						}
					}
					if _, again := c.refuses(p, now); !again && (blockedRecord(c, p[0].ID) || blockedRecord(c, p[1].ID)) {
						t.Fatal("two trials at once")
					}
				}
			}
			n := 0
			for _, s := range c.suspects {
				if s.blocked {
					n++
				}
			}
			if n != c.numBlocked {
				t.Fatalf("%d parts are blocked, %d counted", n, c.numBlocked)
			}
		}
	})
}

func blockedRecord(c *crashTracker, id PartID) bool {
	return c.suspects[id] != nil && c.suspects[id].blocked
}
