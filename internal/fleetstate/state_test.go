package fleetstate

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
)

const outAt, backAt = "2027-01-01T00:00:00Z", "2027-01-01T01:00:00Z"

func testConfig(moves ...fleetconfig.Move) *fleetconfig.Config {
	return &fleetconfig.Config{
		Fleet: "test", DataCentres: []fleetconfig.DataCentre{{Name: "a"}, {Name: "b"}, {Name: "c"}},
		Pools: []fleetconfig.Pool{{Name: "p"}, {Name: "q"}},
		Targets: []fleetconfig.Target{
			{Name: "1", Pool: "p", DataCentre: "a"}, {Name: "2", Pool: "p", DataCentre: "b"}, {Name: "3", Pool: "q", DataCentre: "c"},
		},
		Moves: moves,
	}
}

func apply(t *testing.T, s *State, c Command) Result {
	t.Helper()
	b, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return s.Apply(b)
}

func submit(t *testing.T, s *State, sub api.Submission) api.SubmitResult {
	t.Helper()
	return *apply(t, s, Command{ID: sub.ChangeID, Submit: &Submit{Submission: sub}}).Submit
}

// TestSubmit guards against two changes accepted on one base, a change that is applied
// twice, and changes that refer to an unknown revision or data centre.
func TestSubmit(t *testing.T) {
	steps := []struct {
		name string
		sub  api.Submission
		want api.SubmitResult
	}{
		{"out before a document", api.Submission{ChangeID: "0", DataCentre: "a", Out: true}, api.SubmitResult{Error: `data centre "a" does not exist`}},
		{"first document", api.Submission{ChangeID: "1", Config: testConfig()}, api.SubmitResult{Revision: 1}},
		{"same base", api.Submission{ChangeID: "2", Config: testConfig()}, api.SubmitResult{ConflictingChange: "1", Revision: 1}},
		{"accepted change resent", api.Submission{ChangeID: "1", Config: testConfig()}, api.SubmitResult{Revision: 1}},
		{"refused change resent", api.Submission{ChangeID: "2", BaseRevision: 1, Config: testConfig()}, api.SubmitResult{ConflictingChange: "1", Revision: 1}},
		{"out", api.Submission{ChangeID: "3", BaseRevision: 1, DataCentre: "a", Out: true}, api.SubmitResult{Revision: 2}},
		{"same base as out", api.Submission{ChangeID: "4", BaseRevision: 1, DataCentre: "b", Out: true}, api.SubmitResult{ConflictingChange: "3", Revision: 2}},
		{"unknown data centre", api.Submission{ChangeID: "5", BaseRevision: 2, DataCentre: "x", Out: true}, api.SubmitResult{Error: `data centre "x" does not exist`}},
		{"base does not exist", api.Submission{ChangeID: "6", BaseRevision: 9, Config: testConfig()}, api.SubmitResult{Error: "base revision 9 does not exist, the newest is 2"}},
		{"empty", api.Submission{ChangeID: "7", BaseRevision: 2}, api.SubmitResult{Error: "change is empty"}},
		{"no id", api.Submission{BaseRevision: 2, Config: testConfig()}, api.SubmitResult{Error: "change id is missing"}},
		{"back", api.Submission{ChangeID: "8", BaseRevision: 2, DataCentre: "a"}, api.SubmitResult{Revision: 3}},
		{"old base", api.Submission{ChangeID: "9", BaseRevision: 0, Config: testConfig()}, api.SubmitResult{ConflictingChange: "1", Revision: 1}},
	}
	is := is.New(t)
	s := New()
	for _, st := range steps {
		if got := submit(t, s, st.sub); got != st.want {
			t.Fatalf("%s: got %+v, want %+v", st.name, got, st.want)
		}
		if st.sub.ChangeID == "3" {
			is.Equal(s.View().DataCentresOut, map[string]bool{"a": true})
		}
	}
	is.Equal(len(s.View().DataCentresOut), 0)
	is.Equal(len(s.History(2)), 2)
	is.Equal(s.History(2)[0].ChangeID, "8")
}

// TestResend guards against a resent change that is applied again after hundreds of
// other changes and a restart from a snapshot.
func TestResend(t *testing.T) {
	is := is.New(t)
	s := New()
	for i := range 600 {
		is.Equal(submit(t, s, api.Submission{ChangeID: fmt.Sprint(i), BaseRevision: uint64(i), Config: testConfig()}).Revision, uint64(i+1))
	}
	s = snapshotAndRestore(t, s)
	is.Equal(submit(t, s, api.Submission{ChangeID: "7", BaseRevision: 7, Config: testConfig()}), api.SubmitResult{Revision: 8})
	is.Equal(submit(t, s, api.Submission{ChangeID: "x", BaseRevision: 7, Config: testConfig()}), api.SubmitResult{ConflictingChange: "7", Revision: 8})
	is.Equal(s.Revision(), uint64(600))
}

// Guards against an order on a data centre whose message was delayed and that undoes a later one, also one
// that had no effect, and also after a restart from a snapshot; and against one that conflicts with an
// order on another data centre, or although it says the same.
func TestDelayedOrderConflicts(t *testing.T) {
	is := is.New(t)
	s := New()
	n := 0
	order := func(dc string, out bool, base uint64) api.SubmitResult {
		n++
		return submit(t, s, api.Submission{ChangeID: fmt.Sprint("o", n), OnNewestRevision: true, DataCentre: dc, Out: out, BaseOrders: &base})
	}
	is.Equal(order("a", true, s.Orders()).ConflictingChange, "")
	delayed := s.Orders()
	is.Equal(order("b", true, delayed).ConflictingChange, "") // another data centre
	is.Equal(order("a", true, s.Orders()).ConflictingChange, "")
	s = snapshotAndRestore(t, s)
	r := order("a", false, delayed)
	is.Equal(r.ConflictingChange, "o3") // without effect, but later
	is.True(s.View().DataCentresOut["a"])
	is.Equal(order("a", true, delayed).ConflictingChange, "") // says the same
	is.Equal(order("a", false, s.Orders()).ConflictingChange, "")
	is.True(!s.View().DataCentresOut["a"])
	is.Equal(submit(t, s, api.Submission{ChangeID: "old", OnNewestRevision: true, DataCentre: "a", Out: true}).Error, "") // of an earlier version
	is.True(s.View().DataCentresOut["a"])
}

func snapshotAndRestore(t *testing.T, s *State) *State {
	t.Helper()
	b, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	out, err := Restore(b)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func unixMs(text string) int64 {
	v, _ := parseMs(text)
	return v
}

// TestMoves guards against a move that leaves a pool without a target, overrides an
// operator, is made twice, or takes a data centre out after the move has ended.
func TestMoves(t *testing.T) {
	move := func(dc string) fleetconfig.Move {
		return fleetconfig.Move{Name: "m", DataCentre: dc, OutAt: outAt, BackAt: backAt}
	}
	outMs, backMs := unixMs(outAt), unixMs(backAt)
	type step struct {
		unixMs   int64
		out      bool
		operator string // change by an operator before the step: "out", "back" or ""
		want     MoveResult
		outAfter bool // whether the data centre is out of service after the step
	}
	cases := map[string]struct {
		dc    string
		steps []step
	}{
		"out and back": {"a", []step{
			{outMs - 1, true, "", MoveNone, false}, {outMs, true, "", MoveOut, true}, {outMs + 5, true, "", MoveNone, true},
			{outMs + 9, false, "", MoveNone, true}, {backMs, false, "", MoveBack, false}, {backMs + 1, false, "", MoveNone, false}}},
		"only target of a pool":    {"c", []step{{outMs, true, "", MoveSkipped, false}, {backMs, false, "", MoveEnded, false}}},
		"move has ended":           {"a", []step{{backMs + 1, true, "", MoveNone, false}, {backMs + 1, false, "", MoveEnded, false}}},
		"operator brings back":     {"a", []step{{outMs, true, "", MoveOut, true}, {outMs + 1, true, "back", MoveNone, false}, {backMs, false, "", MoveEnded, false}}},
		"operator took out before": {"a", []step{{outMs, true, "out", MoveOut, true}, {backMs, false, "", MoveEnded, true}}},
		"operator takes out again": {"a", []step{{outMs, true, "", MoveOut, true}, {outMs + 1, true, "back", MoveNone, false}, {backMs, false, "out", MoveEnded, true}}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := New()
			submit(t, s, api.Submission{ChangeID: "doc", Config: testConfig(move(tc.dc))})
			for i, st := range tc.steps {
				if st.operator != "" {
					submit(t, s, api.Submission{ChangeID: fmt.Sprint("op", i), BaseRevision: s.Revision(), DataCentre: tc.dc, Out: st.operator == "out"})
				}
				s = snapshotAndRestore(t, s)
				due := s.DueMoveSteps(st.unixMs)
				r := apply(t, s, Command{UnixMs: st.unixMs, Move: &MoveStep{Move: MoveID(move(tc.dc)), Out: st.out}})
				is.Equal(r.Move, st.want)
				is.Equal(len(due) > 0 && due[0].Out == st.out, r.Move != MoveNone) // a step is due exactly if it has an effect
				is.Equal(s.View().DataCentresOut[tc.dc], st.outAfter)
			}
		})
	}
	is := is.New(t)
	s := New()
	submit(t, s, api.Submission{ChangeID: "doc", Config: testConfig(move("a"))})
	is.Equal(apply(t, s, Command{UnixMs: outMs, Move: &MoveStep{Move: "unlisted", Out: true}}).Move, MoveNone)
	submit(t, s, api.Submission{ChangeID: "out", BaseRevision: 1, DataCentre: "b", Out: true}) // the other targets of the pool
	is.Equal(apply(t, s, Command{UnixMs: outMs, Move: &MoveStep{Move: MoveID(move("a")), Out: true}}).Move, MoveSkipped)
}

// TestClaims guards against a request that runs twice under one key, a delayed copy of a
// command that blocks a released key, and an outcome that is lost.
func TestClaims(t *testing.T) {
	const day = claimTTLMs
	key := api.ClaimKey{Workspace: "w", Pool: "p", Key: "k"}
	outcome := &api.ClaimOutcome{Status: 200, Body: []byte("x")}
	tooLong := &api.ClaimOutcome{Status: 200, Body: make([]byte, maxOutcomeBytes+1)}
	claimBy := func(h string) Command { return Command{Claim: &Claim{key, h}} }
	settleBy := func(h string, o *api.ClaimOutcome) Command { return Command{Settle: &Settle{key, h, o}} }
	steps := []struct {
		name      string
		unixMs    int64
		cmd       Command
		wantState api.ClaimState // "" if the result has no claim
		wantErr   bool
	}{
		{"claim", 1, claimBy("h1"), api.ClaimNew, false},
		{"claim resent", 2, claimBy("h1"), api.ClaimNew, false},
		{"other holder", 3, claimBy("h2"), api.ClaimRunning, false},
		{"settle by other", 4, settleBy("h2", outcome), "", true},
		{"release", 5, settleBy("h1", nil), "", false},
		{"delayed copy of the claim", 6, claimBy("h1"), "", true},
		{"delayed copy of the release", 6, settleBy("h1", nil), "", false},
		{"claim after release", 7, claimBy("h2"), api.ClaimNew, false},
		{"delayed copy of the first release", 8, settleBy("h1", nil), "", true},
		{"settle", 9, settleBy("h2", tooLong), "", false},
		{"settle resent", 10, settleBy("h2", nil), "", false},
		{"resend of the request", 11, claimBy("h3"), api.ClaimDone, false},
		{"just before it expires", 6 + day, claimBy("h3"), api.ClaimDone, false},
		{"after it has expired", 7 + day, claimBy("h3"), api.ClaimNew, false},
		{"time never goes backwards", 1, claimBy("h4"), api.ClaimRunning, false},
	}
	is := is.New(t)
	s := New()
	for _, st := range steps {
		st.cmd.UnixMs = st.unixMs
		r := apply(t, s, st.cmd)
		if (r.Error != "") != st.wantErr || (r.Claim != nil && r.Claim.State != st.wantState) || (r.Claim == nil) != (st.wantState == "") {
			t.Fatalf("%s: got %+v %+v", st.name, r, r.Claim)
		}
		if st.wantState == api.ClaimDone {
			is.True(r.Claim.Outcome.Status == 200 && r.Claim.Outcome.Truncated && r.Claim.Outcome.Body == nil)
		}
		s = snapshotAndRestore(t, s)
	}
	is.Equal(s.nowMs, int64(7+day))
	apply(t, s, Command{UnixMs: 3 * day, Epoch: &OrderEpoch{"p"}})
	is.Equal(len(s.claims.byKey)+len(s.claims.expiryOrder), 0)
}

// TestClaimBounds guards against claims and bodies that exceed their limits, and against
// limits that differ after a restart.
func TestClaimBounds(t *testing.T) {
	is := is.New(t)
	s := New()
	is.Equal([2]int{s.claims.maxClaims, s.claims.maxStoredBodyBytes}, [2]int{maxClaims, maxStoredBodyBytes})
	const bodyLimit, claimLimit = 16 * maxOutcomeBytes, 100 // the actual limits take a minute under the race detector
	s.claims.maxClaims, s.claims.maxStoredBodyBytes = claimLimit, bodyLimit
	truncated := 0
	for i := range bodyLimit/maxOutcomeBytes + 2 {
		key := api.ClaimKey{Key: fmt.Sprint(i)}
		s.claims.claim(&Claim{key, "h"}, 1)
		s.claims.settle(&Settle{key, "h", &api.ClaimOutcome{Status: 200, Body: make([]byte, maxOutcomeBytes)}})
		if s.claims.byKey[key].Outcome.Truncated {
			truncated++
		}
	}
	is.Equal(truncated, 2)
	s = snapshotAndRestore(t, s)
	is.Equal(s.claims.storedBodyBytes, bodyLimit)
	is.Equal(s.claims.maxClaims, maxClaims)
	s.claims.maxClaims = claimLimit
	s.claims.expire(1 + claimTTLMs)
	is.Equal(s.claims.storedBodyBytes, 0)
	for i := range claimLimit {
		s.claims.claim(&Claim{api.ClaimKey{Key: fmt.Sprint(i)}, "h"}, 1)
	}
	is.Equal(s.claims.claim(&Claim{api.ClaimKey{Key: "one more"}, "h"}, 1).Error, claimsFullText)
	is.Equal(s.claims.claim(&Claim{api.ClaimKey{Key: "1"}, "i"}, 1).Claim.State, api.ClaimRunning)
}

// TestOrderEpoch guards against a fencing token that is issued to two commands or falls.
func TestOrderEpoch(t *testing.T) {
	is := is.New(t)
	s := New()
	draw := func(pool, id string) uint64 { return apply(t, s, Command{ID: id, Epoch: &OrderEpoch{pool}}).Epoch }
	is.Equal(draw("p", "1"), uint64(1))
	is.Equal(draw("p", "2"), uint64(2))
	is.Equal(draw("q", "3"), uint64(1))
	s = snapshotAndRestore(t, s)
	is.Equal(draw("p", "1"), uint64(1)) // resend
	is.Equal(draw("p", "4"), uint64(3))
}

// TestMalformed guards against a malformed entry or snapshot that crashes the replica,
// changes the state or is accepted.
func TestMalformed(t *testing.T) {
	is := is.New(t)
	s := New()
	before, _ := s.Snapshot()
	is.True(s.Apply([]byte("{")).Error != "")
	is.True(s.Apply([]byte(`{"id":"x"}`)).Error != "")
	after, _ := s.Snapshot()
	is.Equal(before, after)
	for _, b := range []string{"{", `{"format":99}`} {
		_, err := Restore([]byte(b))
		is.True(err != nil)
	}
}

// TestDeterministic guards against replicas that differ because one of them has restarted
// from a snapshot, and against commands that change the state when applied again.
func TestDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			c := drawCommand(t, i, a.Revision())
			raw, err := c.Encode()
			if err != nil {
				t.Fatal(err)
			}
			ra, rb := a.Apply(raw), b.Apply(raw)
			if fmt.Sprintf("%+v %+v", ra.Submit, ra.Claim) != fmt.Sprintf("%+v %+v", rb.Submit, rb.Claim) || ra.Epoch != rb.Epoch || ra.Move != rb.Move {
				t.Fatalf("results differ: %+v, %+v", ra, rb)
			}
			sa, _ := a.Snapshot()
			sb, _ := b.Snapshot()
			if !bytes.Equal(sa, sb) {
				t.Fatalf("states differ:\n%s\n%s", sa, sb)
			}
			a.Apply(raw)
			if again, _ := a.Snapshot(); !bytes.Equal(sa, again) {
				t.Fatalf("repeating %s changed the state:\n%s\n%s", raw, sa, again)
			}
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				if b, err = Restore(sb); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}

func drawCommand(t *rapid.T, i int, revision uint64) Command {
	c := Command{ID: fmt.Sprint(i), UnixMs: unixMs(outAt) + rapid.Int64Range(-1000, 2*claimTTLMs).Draw(t, "ms")}
	key := api.ClaimKey{Key: rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key")}
	holder := rapid.SampledFrom([]string{"h", "i"}).Draw(t, "holder")
	move := fleetconfig.Move{Name: "m", DataCentre: "a", OutAt: outAt, BackAt: backAt}
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0:
		c.Submit = &Submit{Submission: api.Submission{ChangeID: c.ID, BaseRevision: revision - rapid.Uint64Range(0, min(1, revision)).Draw(t, "old"), Config: testConfig(move)}}
	case 1:
		c.Submit = &Submit{Submission: api.Submission{ChangeID: c.ID, BaseRevision: revision, DataCentre: "b", Out: rapid.Bool().Draw(t, "out")}}
	case 2:
		c.Move = &MoveStep{Move: MoveID(move), Out: rapid.Bool().Draw(t, "out")}
	case 3:
		c.Claim = &Claim{key, holder}
	case 4:
		c.Settle = &Settle{key, holder, nil}
	case 5:
		base := rapid.Uint64Range(0, 5).Draw(t, "orders")
		c.Submit = &Submit{Submission: api.Submission{ChangeID: c.ID, OnNewestRevision: true, DataCentre: "a", Out: rapid.Bool().Draw(t, "out"), BaseOrders: &base}}
	default:
		c.Epoch = &OrderEpoch{Pool: holder}
	}
	return c
}
