package fleetstate

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"nutmegrouter/internal/api"
)

// startOf returns the order to move service "s" to a version.
func startOf(version string, durationMs int64) api.RolloutChange {
	return api.RolloutChange{Service: "s", Version: version, DurationMs: durationMs}
}

// endOf returns the end of the rollout of service "s" that started at a revision.
func endOf(started uint64, state api.RolloutState) api.RolloutChange {
	return api.RolloutChange{Service: "s", Ends: started, State: state, Reason: "why"}
}

// Guards against a repeated order that is refused or starts a second rollout, a message delayed beyond another
// rollout that undoes it, an end by an earlier owner that ends a later rollout, and a state that is lost or differs
// after a restart from a snapshot.
func TestRollouts(t *testing.T) {
	type step struct {
		name   string
		change api.RolloutChange
		base   uint64
		want   api.SubmitResult
		// state and version are those of the newest rollout of service "s" after the step.
		state   api.RolloutState
		version string
	}
	const running, succeeded, rolledBack = api.RolloutRunning, api.RolloutSucceeded, api.RolloutRolledBack
	accepted := func(revision uint64) api.SubmitResult { return api.SubmitResult{Revision: revision} }
	conflict := func(change string, revision uint64) api.SubmitResult {
		return api.SubmitResult{ConflictingChange: change, Revision: revision}
	}
	refused := func(text string) api.SubmitResult { return api.SubmitResult{Error: text} }
	const incomplete = "a rollout needs a service, a version and a duration"
	for name, steps := range map[string][]step{
		"start and repeats": {
			{"start", startOf("v2", 12), 0, accepted(1), running, "v2"},
			{"repeat from before the start", startOf("v2", 12), 0, accepted(1), running, "v2"},
			{"repeat from after it", startOf("v2", 12), 1, accepted(1), running, "v2"},
			{"other version", startOf("v3", 12), 1, conflict("0", 1), running, "v2"},
			{"other duration", startOf("v2", 13), 1, conflict("0", 1), running, "v2"},
			{"other version, delayed", startOf("v3", 12), 0, conflict("0", 1), running, "v2"},
		},
		"incomplete": {
			{"no service", api.RolloutChange{Version: "v2", DurationMs: 1}, 0, refused(incomplete), "", ""},
			{"no version", startOf("", 1), 0, refused(incomplete), "", ""},
			{"no duration", startOf("v2", 0), 0, refused(incomplete), "", ""},
			{"negative duration", startOf("v2", -1), 0, refused(incomplete), "", ""},
			{"end without a start", endOf(1, succeeded), 0, accepted(0), "", ""},
		},
		"succeeded": {
			{"start", startOf("v2", 12), 0, accepted(1), running, "v2"},
			{"end", endOf(1, succeeded), 0, accepted(2), succeeded, "v2"},
			{"delayed repeat", startOf("v2", 12), 1, accepted(2), succeeded, "v2"},
			{"order for the same version", startOf("v2", 12), 2, accepted(2), succeeded, "v2"},
			{"and with another duration", startOf("v2", 60), 2, accepted(2), succeeded, "v2"},
			{"delayed order for another version", startOf("v3", 12), 1, conflict("1", 2), succeeded, "v2"},
			{"next rollout", startOf("v3", 12), 2, accepted(3), running, "v3"},
			{"delayed order of the first", startOf("v2", 12), 0, conflict("6", 3), running, "v3"},
			{"delayed order from between", startOf("v2", 12), 2, conflict("6", 3), running, "v3"},
		},
		"rolled back": {
			{"start", startOf("v2", 12), 0, accepted(1), running, "v2"},
			{"end", endOf(1, rolledBack), 0, accepted(2), rolledBack, "v2"},
			{"delayed repeat", startOf("v2", 12), 1, accepted(2), rolledBack, "v2"},
			{"delayed with another duration", startOf("v2", 13), 1, conflict("1", 2), rolledBack, "v2"},
			{"repeat by an operator without a response", startOf("v2", 12), 2, accepted(2), rolledBack, "v2"},
			{"after repeatWindowMs", startOf("v2", 12), 2, accepted(3), running, "v2"},
			{"late end of the first", endOf(1, rolledBack), 0, accepted(3), running, "v2"},
			{"end of the second", endOf(3, succeeded), 0, accepted(4), succeeded, "v2"},
		},
		"ends": {
			{"start", startOf("v2", 12), 0, accepted(1), running, "v2"},
			{"end as running", endOf(1, running), 0, refused(`a rollout cannot end as "running"`), running, "v2"},
			{"end as nothing", endOf(1, ""), 0, refused(`a rollout cannot end as ""`), running, "v2"},
			{"another start", endOf(9, rolledBack), 0, accepted(1), running, "v2"},
			{"end", endOf(1, rolledBack), 0, accepted(2), rolledBack, "v2"},
			{"late opposite end", endOf(1, succeeded), 0, accepted(2), rolledBack, "v2"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := New()
			nowMs := int64(1_800_000_000_000)
			for i, st := range steps {
				if nowMs++; strings.HasPrefix(st.name, "after repeatWindowMs") {
					nowMs += repeatWindowMs
				}
				sub := api.Submission{ChangeID: fmt.Sprint(i), OnNewestRevision: true, BaseRevision: st.base, Rollout: &st.change}
				for _, time := range []string{"first", "resent"} {
					got := *apply(t, s, Command{ID: sub.ChangeID, UnixMs: nowMs, Submit: &Submit{Submission: sub}}).Submit
					if got != st.want {
						t.Fatalf("%s (%s): got %+v, want %+v", st.name, time, got, st.want)
					}
				}
				s = snapshotAndRestore(t, s)
				if got := s.View().Rollouts["s"]; got.State != st.state || got.Version != st.version {
					t.Fatalf("%s: the view has %+v, want %s %s", st.name, got, st.state, st.version)
				}
			}
		})
	}
}

// Guards against a record that lacks what the instances need of it, and a start or an end without an entry in the
// history.
func TestRolloutRecord(t *testing.T) {
	is := is.New(t)
	s := New()
	submit(t, s, api.Submission{ChangeID: "out", OnNewestRevision: true, DataCentre: "a", Out: true})
	start, other := startOf("v2", 12_000), api.RolloutChange{Service: "t", Version: "w7", DurationMs: 5}
	before := s.View()
	submit(t, s, api.Submission{ChangeID: "start", OnNewestRevision: true, BaseRevision: 1, Author: "me", Rollout: &start})
	submit(t, s, api.Submission{ChangeID: "other", OnNewestRevision: true, BaseRevision: 2, Rollout: &other})
	is.Equal(before.Rollouts, nil) // a view that was handed out does not change
	is.Equal(s.View().Rollouts, map[string]api.Rollout{
		"s": {Service: "s", Version: "v2", DurationMs: 12_000, Started: 2, State: api.RolloutRunning},
		"t": {Service: "t", Version: "w7", DurationMs: 5, Started: 3, State: api.RolloutRunning},
	})
	end := api.RolloutChange{Service: "s", Ends: 2, State: api.RolloutSucceeded, Reason: "all_moved", Replaced: []string{"v0", "v1"}}
	submit(t, s, api.Submission{ChangeID: "end", OnNewestRevision: true, Rollout: &end})
	s = snapshotAndRestore(t, s)
	is.Equal(s.View().Rollouts["s"], api.Rollout{Service: "s", Version: "v2", DurationMs: 12_000, Started: 2,
		State: api.RolloutSucceeded, Reason: "all_moved", Replaced: []string{"v0", "v1"}})
	is.Equal(s.View().Rollouts["t"].State, api.RolloutRunning)
	is.True(s.View().DataCentresOut["a"])
	is.Equal(s.History(1)[0].Summary, "rollout of s to v2: succeeded")
	is.Equal(s.History(3)[2].Summary, "rollout of s to v2")
	is.Equal(s.History(3)[2].Author, "me")
}

// Guards against an account that falls because a message of an earlier owner was delayed, that is taken for another
// rollout, or that makes a revision, which every instance would have to receive.
func TestRolloutAccounts(t *testing.T) {
	is := is.New(t)
	s := New()
	save := func(service string, started, requests, allowed uint64, elapsedMs int64) error {
		r := apply(t, s, Command{Account: &api.RolloutAccount{Service: service, Started: started, Requests: requests, Allowed: allowed, ElapsedMs: elapsedMs}})
		if r.Error != "" {
			return fmt.Errorf("%s", r.Error)
		}
		return nil
	}
	order := func(c api.RolloutChange) {
		n := s.Revision()
		sub := api.Submission{ChangeID: fmt.Sprint(n), OnNewestRevision: true, BaseRevision: n, Rollout: &c}
		is.Equal(apply(t, s, Command{ID: sub.ChangeID, UnixMs: int64(n) * repeatWindowMs, Submit: &Submit{Submission: sub}}).Submit.Revision, n+1)
		s = snapshotAndRestore(t, s)
	}
	is.True(save("s", 1, 1, 1, 1) != nil) // no rollout
	order(startOf("v2", 12))
	is.Equal(s.RolloutAccounts(), map[string]api.RolloutAccount{"s": {Service: "s", Started: 1}})
	view := s.View()
	for _, st := range []struct {
		started, requests, allowed uint64
		elapsedMs                  int64
		ok                         bool
		want                       api.RolloutAccount // the figures after the step
	}{
		{1, 100, 8, 40, true, api.RolloutAccount{Requests: 100, Allowed: 8, ElapsedMs: 40}},
		{1, 90, 16, 30, true, api.RolloutAccount{Requests: 100, Allowed: 16, ElapsedMs: 40}}, // each figure only grows
		{1, 120, 4, 50, true, api.RolloutAccount{Requests: 120, Allowed: 16, ElapsedMs: 50}},
		{1, 0, 0, -5, true, api.RolloutAccount{Requests: 120, Allowed: 16, ElapsedMs: 50}},
		{2, 900, 900, 900, false, api.RolloutAccount{Requests: 120, Allowed: 16, ElapsedMs: 50}},
	} {
		is.Equal(save("s", st.started, st.requests, st.allowed, st.elapsedMs) == nil, st.ok)
		is.True(save("other", st.started, 1, 1, 1) != nil)
		is.Equal(s.View(), view) // no new view
		is.Equal(s.Revision(), uint64(1))
		s = snapshotAndRestore(t, s)
		st.want.Service, st.want.Started = "s", 1
		is.Equal(s.RolloutAccounts()["s"], st.want)
		view = s.View()
	}
	order(endOf(1, api.RolloutRolledBack))
	is.True(save("s", 1, 900, 900, 900) != nil) // it has ended
	is.Equal(len(s.RolloutAccounts()), 0)
	order(startOf("v2", 12))
	is.True(save("s", 1, 900, 900, 900) != nil) // of the rollout before
	is.Equal(s.RolloutAccounts()["s"], api.RolloutAccount{Service: "s", Started: 3})
}

// Guards against a program that cannot read what the build before it has stored: a snapshot and entries of the log
// without rollouts.
func TestStateWithoutRollouts(t *testing.T) {
	is := is.New(t)
	const snapshot = `{"format":1,"now_ms":5,"revision":2,"version":7,"document":"eA==","out":{"a":"out"},"orders":1,` +
		`"ordered":{"a":{"number":1,"change_id":"out"}},"changes":[{"id":"out","result":{"revision":2}}],` +
		`"history":[{"revision":2,"change_id":"out","unix_ms":4}]}`
	s, err := Restore([]byte(snapshot))
	is.NoErr(err)
	is.Equal(s.View().Version, uint64(7))
	is.Equal(s.View().Rollouts, nil)
	r := s.Apply([]byte(`{"id":"x","ms":9,"submit":{"change_id":"x","newest":true,"data_centre":"a","base_orders":1}}`))
	is.Equal(r.Submit.Error+r.Submit.ConflictingChange, "")
	is.Equal(len(s.RolloutAccounts()), 0)
	raw, err := s.Snapshot()
	is.NoErr(err)
	is.True(!bytes.Contains(raw, []byte("rollouts"))) // a state without rollouts stays readable by the build before
	change := startOf("v2", 12)
	is.Equal(submit(t, s, api.Submission{ChangeID: "start", OnNewestRevision: true, BaseRevision: s.Revision(), Rollout: &change}).Error, "")
	is.Equal(s.View().Rollouts["s"].Started, s.Revision())
}

// Guards against replicas whose rollouts differ because one of them has restarted from a snapshot, entries that
// change the state when applied again, a service with two running rollouts, one that ends twice or starts without
// an order, and accounts that fall.
func TestRolloutsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		ended := map[uint64]uint64{} // revisions of the ends, by Started
		for i := range rapid.IntRange(1, 80).Draw(t, "commands") {
			c := drawRolloutCommand(t, i, a.Revision())
			raw, err := c.Encode()
			if err != nil {
				t.Fatal(err)
			}
			before, accounts := a.View(), a.RolloutAccounts()
			ra, rb := a.Apply(raw), b.Apply(raw)
			ja, _ := json.Marshal(ra)
			jb, _ := json.Marshal(rb)
			if !bytes.Equal(ja, jb) {
				t.Fatalf("results of %s differ: %s, %s", raw, ja, jb)
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
			checkRolloutStep(t, before, a.View(), c, ended)
			for service, account := range a.RolloutAccounts() {
				last := accounts[service]
				if last.Started == account.Started && (account.Requests < last.Requests || account.Allowed < last.Allowed || account.ElapsedMs < last.ElapsedMs) {
					t.Fatalf("%s lowered the account %+v to %+v", raw, last, account)
				}
			}
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				if b, err = Restore(sb); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}

// checkRolloutStep checks what a command has changed of the rollouts. ended holds the revisions at which they have
// ended, by Started.
func checkRolloutStep(t *rapid.T, before, after *api.View, c Command, ended map[uint64]uint64) {
	for service, r := range after.Rollouts {
		last, known := before.Rollouts[service]
		switch {
		case known && last.Started == r.Started && last.State != api.RolloutRunning:
			if last.State != r.State {
				t.Fatalf("%+v became %+v", last, r)
			}
		case known && last.Started == r.Started:
			if r.State != api.RolloutRunning {
				ended[r.Started] = after.Revision
			}
		case known && last.State == api.RolloutRunning:
			t.Fatalf("%+v was replaced while it ran by %+v", last, r)
		case c.Submit.Rollout.Service != service || c.Submit.BaseRevision < ended[last.Started] || r.State != api.RolloutRunning:
			t.Fatalf("%+v has started %+v", c.Submit.Rollout, r)
		}
	}
}

// drawRolloutCommand draws starts, also repeated and delayed ones, ends, also late ones, and accounts.
func drawRolloutCommand(t *rapid.T, i int, revision uint64) Command {
	c := Command{ID: fmt.Sprint(i), UnixMs: int64(i) * 1000}
	service := rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service")
	earlier := revision - rapid.Uint64Range(0, min(4, revision)).Draw(t, "earlier")
	sub := api.Submission{ChangeID: c.ID, OnNewestRevision: true, BaseRevision: earlier}
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		sub.Rollout = &api.RolloutChange{Service: service, Version: rapid.SampledFrom([]string{"v2", "v3"}).Draw(t, "version"), DurationMs: rapid.Int64Range(1, 2).Draw(t, "duration")}
	case 1, 2:
		sub.Rollout = &api.RolloutChange{Service: service, Ends: max(1, earlier), Reason: "why", Replaced: []string{"v1"},
			State: rapid.SampledFrom([]api.RolloutState{api.RolloutSucceeded, api.RolloutRolledBack}).Draw(t, "state")}
	default:
		c.Account = &api.RolloutAccount{Service: service, Started: max(1, earlier), Requests: rapid.Uint64Range(0, 9).Draw(t, "requests"),
			Allowed: rapid.Uint64Range(0, 9).Draw(t, "allowed"), ElapsedMs: rapid.Int64Range(-1, 9).Draw(t, "elapsed")}
		return c
	}
	c.Submit = &Submit{Submission: sub}
	return c
}
