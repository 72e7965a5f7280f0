package placer

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/placement"
	"nutmegrouter/internal/placewire"
)

// tellSuspects delivers the owner's list of suspect requests.
func (r *harness) tellSuspects(requests ...placement.SuspectRequest) {
	raw, err := json.Marshal(placewire.NewSuspects(requests))
	r.NoErr(err)
	r.respond(placewire.OwnerMessage{Term: r.p.owner.term, Suspects: raw})
}

func identityOf(body string) *api.RequestIdentity {
	return api.NewRequestIdentity("w", []byte("POST"), []byte("h"), []byte("/order/1"), []byte(body))
}

func (r *harness) placeAsync(w *api.PlacementRequest) chan result {
	done := make(chan result, 1)
	go func() {
		p, err := r.p.Place(context.Background(), w)
		done <- result{p, err}
	}()
	return done
}

// Guards against a blocked request that waits or reaches a target, with an owner or without one, and
// against refusing others that differ only in the body.
func TestBlockedRequestIsRefusedAtOnce(t *testing.T) {
	for _, w := range []*api.PlacementRequest{plainRequest(), promptRequest("root", "own")} {
		r := newHarness(t)
		w.Identity = identityOf("deadly")
		r.tellSuspects(placement.SuspectRequest{Fingerprint: w.Identity.Fingerprint(), Blocked: true, Remaining: 20 * time.Second})
		refused := func() *api.Refusal {
			_, err := r.p.Place(context.Background(), w)
			var refusal *api.Refusal
			r.True(errors.As(err, &refusal))
			r.Equal(refusal.Code, placement.CodeRequestCrashes)
			r.Equal(refusal.Run, api.NotRun)
			return refusal
		}
		r.Equal(refused().RetryAfter, 20*time.Second)
		report := r.fullReport(2) // a new owner learns it
		r.Equal(len(report.Suspects), 1)
		r.True(report.Suspects[0].Blocked)
		r.p.leaderChanged("", 3)
		r.Equal(refused().RetryAfter, 20*time.Second)
		r.Advance(30*time.Second, 30*time.Second)
		r.Equal(refused().RetryAfter, blockedRetryAfter) // only an owner lets one repeat pass
		sound := *w
		sound.Identity = identityOf("sounds")
		a, err := r.p.Place(context.Background(), &sound)
		r.NoErr(err)
		a.End(api.AttemptServed)
	}
}

// Guards against repeats of a suspect request that go past the owner, and against an answered one that
// stays suspect.
func TestSuspectRequestNeedsPermission(t *testing.T) {
	r := newHarness(t)
	w := plainRequest()
	w.Identity = identityOf("suspect")
	f := w.Identity.Fingerprint()
	r.tellSuspects(placement.SuspectRequest{Fingerprint: f})

	done := r.placeAsync(w)
	n := r.waitForAsk(0)
	r.p.mu.Lock()
	asked := r.p.pending.Requests[0]
	r.p.mu.Unlock()
	r.True(asked.Plain)
	r.Equal(asked.Fingerprint.ToAPI(), f)
	r.respond(placewire.OwnerMessage{Term: 1, Decisions: []placewire.Decision{{Number: n, Code: placement.CodeRequestCrashes, RetryMs: 1500}}})
	refused := <-done
	var refusal *api.Refusal
	r.True(errors.As(refused.err, &refusal))
	r.Equal(refusal.RetryAfter, 1500*time.Millisecond)

	done = r.placeAsync(w)
	n = r.waitForAsk(n)
	r.respond(placewire.OwnerMessage{Term: 1, Decisions: []placewire.Decision{{Number: n, Permitted: true}}})
	placed := <-done
	r.NoErr(placed.err)
	placed.placement.End(api.AttemptFailed) // an error is an answer, too
	r.p.mu.Lock()
	r.Equal(r.p.pending.AnsweredSuspects, []placewire.Fingerprint{placewire.NewFingerprint(f)})
	r.p.mu.Unlock()

	r.tellSuspects() // cleared
	a, err := r.p.Place(context.Background(), w)
	r.NoErr(err)
	a.End(api.AttemptServed)
	r.Equal(len(r.p.pending.AnsweredSuspects), 1)
}

// Guards against crashes that are lost while no owner is known or reachable, and against a request that
// is blamed for a crash after its target has begun to answer it.
func TestCrashReportsAreKept(t *testing.T) {
	r := newHarness(t)
	f := identityOf("deadly").Fingerprint()
	r.granted().ReportCrash(f)
	answered := r.granted()
	answered.answered = true
	answered.ReportCrash(f)
	r.Equal(len(r.p.pending.Crashes), 1)
	r.p.leaderChanged("", 2)
	r.True(r.p.sendPending())
	r.p.leaderChanged("o", 3)
	r.p.mesh = failingMesh{}
	r.True(!r.p.sendPending())
	r.Equal(len(r.p.pending.Crashes), 1)
	r.Equal(r.p.pending.Crashes[0], placewire.RequestCrash{Fingerprint: placewire.NewFingerprint(f), Target: testTarget.ID})
}

// Guards against an instance that has just started and sends what all others refuse, because it places
// requests before the owner has told it, and against requests that wait without an end.
func TestFirstRequestsWaitForLists(t *testing.T) {
	r := newHarness(t)
	r.p.startedAt = r.p.clock.Now()
	w := plainRequest()
	w.Identity = identityOf("deadly")
	done := r.placeAsync(w)
	select {
	case <-done:
		r.Fail()
	case <-time.After(50 * time.Millisecond):
	}
	r.tellSuspects(placement.SuspectRequest{Fingerprint: w.Identity.Fingerprint(), Blocked: true, Remaining: time.Minute})
	r.True((<-done).err != nil)

	r = newHarness(t)
	r.p.startedAt = r.p.clock.Now() - startTimeout + 20*time.Millisecond
	r.NoErr((<-r.placeAsync(plainRequest())).err) // no owner has told anything in time
}

// Guards against a request that crashes target after target at an instance while no owner responds.
func TestCrashesCountWithoutOwner(t *testing.T) {
	r := newHarness(t)
	r.p.leaderChanged("", 2)
	w := plainRequest()
	w.Identity = identityOf("deadly")
	sent := 0
	for range 20 {
		r.Advance(time.Second, time.Second)
		a, err := r.p.Place(context.Background(), w)
		if err != nil {
			continue
		}
		sent++
		a.End(api.AttemptIncomplete)
		a.(*assignment).target.ID = fmt.Sprint("t", sent)
		a.ReportCrash(w.Identity.Fingerprint())
	}
	r.Equal(sent, 3)
	r.Equal(len(r.fullReport(3).Suspects), 1)
}
