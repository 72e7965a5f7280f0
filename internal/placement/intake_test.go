package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/routing"
)

// newIntakeOwner returns an owner with targets of one slot each.
func newIntakeOwner(targets int) *Owner {
	o := NewOwner(Config{ShareWindow: 4 * time.Second})
	v := View{Services: map[string]*routing.Service{"m": {Name: "m", Engine: &routing.Engine{Slots: 1, CacheTokens: 100_000}}}, TokensPerSecond: 1e6}
	for i := range targets {
		v.Targets = append(v.Targets, api.Target{ID: fmt.Sprintf("t%03d", i), Service: "m", Slots: 1})
	}
	o.SetView(v, 0)
	return o
}

func askOf(workspace string, number uint64) (Key, Request) {
	return Key{"e", number}, Request{
		Service: "m", Workspace: workspace, PromptTokens: 100, OutputTokens: 10, Prompt: []Part{{ID: PartID(number), Tokens: 100}},
		Objective: time.Second, RouteObjective: time.Second, Deadline: 10 * time.Second,
	}
}

// Guards against a workspace whose flood makes the requests of others wait for their first decision.
func TestFloodDelaysOnlyItself(t *testing.T) {
	is := is.New(t)
	o := newIntakeOwner(8)
	for n := range uint64(1000) {
		k, r := askOf("flood", n)
		o.Ask(k, r, 0, 0)
	}
	k, r := askOf("other", 5000)
	o.Ask(k, r, 0, 0)
	o.DecideAsked(2, 0)
	decided := o.Decisions()
	is.Equal(len(decided), 2)
	is.True(decided[0].Key == k || decided[1].Key == k)
	is.Equal(o.Asked(), 999)
}

// Guards against work on requests that nobody waits for any more.
func TestWithdrawnRequestIsNotDecided(t *testing.T) {
	is := is.New(t)
	o := newIntakeOwner(1)
	for n := range uint64(10) {
		k, r := askOf("w", n)
		o.Ask(k, r, 0, 0)
		o.End(k, api.AttemptUnsent, 0)
	}
	k, r := askOf("w", 10)
	o.Ask(k, r, 0, 0)
	o.RemoveEntry("e")
	is.Equal(o.Asked(), 0)
	o.DecideAsked(100, 0)
	is.Equal(len(o.Decisions()), 0)
	is.Equal(o.Searches(), uint64(0))
}

// Guards against an owner that is late and spends its time on requests that it can't serve in time, or
// leaves them waiting until their deadline.
func TestLateRequestsAreRefusedWithoutSearch(t *testing.T) {
	is := is.New(t)
	o := newIntakeOwner(8)
	for n := range uint64(100) {
		k, r := askOf("w", n)
		o.Ask(k, r, 50*time.Millisecond, 0)
	}
	k, r := askOf("w", 100)
	o.Ask(k, r, 0, 900*time.Millisecond)
	o.DecideAsked(1, 1100*time.Millisecond)
	decided := o.Decisions()
	is.Equal(len(decided), 101)
	for _, d := range decided[:100] {
		is.Equal(d.Code, CodeTooLate)
		is.True(d.RetryAfter >= minRetryAfter)
	}
	is.Equal(decided[100].Key, k)
	is.True(decided[100].Target != "")
	is.Equal(o.Searches(), uint64(1))
}

// Guards against times that count from when the owner gets to a request and not from when it was asked.
func TestTimesCountFromTheAsk(t *testing.T) {
	is := is.New(t)
	o := newIntakeOwner(1)
	k, r := askOf("w", 1)
	o.Ask(k, r, 20*time.Millisecond, time.Second)
	o.DecideAsked(1, time.Second+30*time.Millisecond)
	w := o.requests[k]
	is.Equal(w.objectiveAt, 2*time.Second-20*time.Millisecond)
	is.Equal(w.deadline, 11*time.Second-20*time.Millisecond)
}

// Guards against a review of queued requests that takes the longer the more of them wait, and against
// requests that the bounded review never comes to.
func TestReviewIsBounded(t *testing.T) {
	is := is.New(t)
	o := newIntakeOwner(100)
	now := time.Duration(0)
	for n := range uint64(500) {
		k, r := askOf(fmt.Sprint("w", n%8), n)
		r.Objective, r.RouteObjective = 300*time.Millisecond, 3*time.Second
		o.Submit(k, r, now)
	}
	queued := o.Waiting()
	is.True(queued > 300)
	decided := map[Key]bool{}
	for range 1000 {
		now += 10 * time.Millisecond
		before := o.Searches()
		o.Tick(now)
		is.True(o.Searches()-before <= 2*maxReviews) // a request that misses its objective is ranked anew and searched for again
		for _, d := range o.Decisions() {
			decided[d.Key] = true
		}
	}
	is.True(len(decided) >= queued) // all have run out of time
	is.Equal(o.Waiting(), 0)
}

// Guards against an order of first decisions that lets the service of two workspaces with waiting requests
// drift apart, that loses requests, or that decides on one twice.
func TestIntakeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := newIntake()
		cost, service := map[Key]float64{}, map[string]float64{}
		waiting := map[string]int{}
		var number uint64
		var since map[string]float64 // service of each workspace since all of them wait
		steps := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 300).Draw(t, "steps")
		const maxCost = 100
		for _, step := range steps {
			if step < 3 {
				w := fmt.Sprint("w", step)
				number++
				k := Key{"e", number}
				cost[k] = float64(rapid.IntRange(1, maxCost).Draw(t, "cost"))
				in.add(&askedRequest{key: k, request: Request{Workspace: w, PromptTokens: int(cost[k])}})
				in.add(&askedRequest{key: k, request: Request{Workspace: w}}) // is known
				waiting[w]++
				continue
			}
			a, q := in.next()
			if a == nil {
				if len(cost) > 0 {
					t.Fatalf("%d requests are lost", len(cost))
				}
				continue
			}
			c, known := cost[a.key]
			if !known {
				t.Fatalf("%v is decided on twice", a.key)
			}
			delete(cost, a.key)
			w := a.request.Workspace
			waiting[w]--
			in.charge(q, c)
			service[w] += c
			if waiting["w0"] == 0 || waiting["w1"] == 0 || waiting["w2"] == 0 {
				since = nil
			} else if since == nil {
				since = map[string]float64{"w0": service["w0"], "w1": service["w1"], "w2": service["w2"]}
			}
			if since == nil {
				continue
			}
			for v := range service {
				if d := (service[w] - since[w]) - (service[v] - since[v]); d > 3*maxCost {
					t.Fatalf("%s is %v ahead of %s", w, d, v)
				}
			}
		}
		if len(in.byKey) != len(cost) {
			t.Fatalf("%d wait, want %d", len(in.byKey), len(cost))
		}
	})
}

// Guards against entry instances without heartbeats while their requests wait for their first decision, and
// against an intake without a bound.
func TestWaitingForTheFirstDecision(t *testing.T) {
	is := is.New(t)
	o := newIntakeOwner(1)
	for n := range uint64(maxAsked) {
		k, r := askOf("w", n)
		o.Ask(k, r, 0, 0)
	}
	is.Equal(len(o.Decisions()), 0)
	is.Equal(o.WaitingEntries(), []string{"e"})
	k, r := askOf("w", maxAsked)
	o.Ask(k, r, 0, 0)
	refused := o.Decisions()
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Key, k)
	is.Equal(refused[0].Code, CodeTooLate)
	is.Equal(o.DropAsked(), []string{"e"})
	is.Equal(o.Asked(), 0)
	is.Equal(len(o.WaitingEntries()), 0)
}
