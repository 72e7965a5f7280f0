package control

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
	"nutmegrouter/internal/fleetstate"
)

const (
	// answerMargin is added to the limit of the serving replica for one attempt,
	// so that a replica that works answers in time. A silent replica ends an
	// attempt earlier, because the mesh closes its link.
	answerMargin = 500 * time.Millisecond
	// retryPause separates attempts.
	retryPause = 50 * time.Millisecond
)

// leaderHint remembers where the last call succeeded.
type leaderHint struct{ name atomic.Pointer[string] }

func (h *leaderHint) get() string {
	if p := h.name.Load(); p != nil {
		return *p
	}
	return ""
}

func (h *leaderHint) set(name string) { h.name.Store(&name) }

// idSource makes command ids that are unique in the fleet.
type idSource struct {
	prefix string
	count  atomic.Uint64
	once   sync.Once
}

func (s *idSource) seed() error {
	var raw [8]byte
	_, err := rand.Read(raw[:])
	s.once.Do(func() { s.prefix = hex.EncodeToString(raw[:]) })
	return errors.WithMessage(err, "control: make command ids")
}

func (s *idSource) next() string { return fmt.Sprintf("%s-%d", s.prefix, s.count.Add(1)) }

// Submit implements api.Control.
func (c *Control) Submit(ctx context.Context, s api.Submission) (api.SubmitResult, error) {
	if s.ChangeID == "" {
		return api.SubmitResult{Error: "change id is missing"}, nil
	}
	r, err := c.command(ctx, methodSubmit, fleetstate.Command{ID: s.ChangeID, Submit: &fleetstate.Submit{Submission: s}})
	if err == nil && r.Submit == nil {
		err = errors.New("control: submit: answer holds no result")
	}
	if err != nil {
		return api.SubmitResult{}, err
	}
	return *r.Submit, nil
}

// Claim implements api.Control.
func (c *Control) Claim(ctx context.Context, key api.ClaimKey, holder string) (api.ClaimResult, error) {
	r, err := c.command(ctx, methodClaim, fleetstate.Command{
		ID: c.ids.next(), Claim: &fleetstate.Claim{Key: key, Holder: holder},
	})
	if err == nil && r.Claim == nil {
		err = errors.New("control: claim: answer holds no result")
	}
	if err != nil {
		return api.ClaimResult{}, err
	}
	return *r.Claim, nil
}

// Settle implements api.Control.
func (c *Control) Settle(ctx context.Context, key api.ClaimKey, holder string, outcome *api.ClaimOutcome) error {
	_, err := c.command(ctx, methodSettle, fleetstate.Command{
		ID: c.ids.next(), Settle: &fleetstate.Settle{Key: key, Holder: holder, Outcome: outcome},
	})
	return err
}

// OrderEpoch implements api.Control.
func (c *Control) OrderEpoch(ctx context.Context, pool string) (uint64, error) {
	r, err := c.command(ctx, methodEpoch, fleetstate.Command{
		ID: c.ids.next(), Epoch: &fleetstate.OrderEpoch{Pool: pool},
	})
	return r.Epoch, err
}

// ReadRevision implements api.Control.
func (c *Control) ReadRevision(ctx context.Context) (uint64, error) {
	var r reply
	err := c.ask(ctx, methodRead, struct{}{}, &r)
	return r.Revision, err
}

// ReadView implements api.Control.
func (c *Control) ReadView(ctx context.Context) (*api.View, error) {
	var r reply
	if err := c.ask(ctx, methodView, struct{}{}, &r); err != nil {
		return nil, err
	}
	if r.View == nil {
		return nil, errors.New("control: read: answer holds no view")
	}
	return r.View, nil
}

// History implements api.Control.
func (c *Control) History(ctx context.Context, limit int) ([]api.HistoryEntry, error) {
	var r reply
	err := c.ask(ctx, methodHistory, struct{}{}, &r)
	if limit > 0 && limit < len(r.History) {
		r.History = r.History[:limit]
	}
	return r.History, err
}

func (c *Control) command(ctx context.Context, method string, cmd fleetstate.Command) (fleetstate.Result, error) {
	var r reply
	if err := c.ask(ctx, method, cmd, &r); err != nil {
		return fleetstate.Result{}, err
	}
	if r.Result.Error != "" {
		return fleetstate.Result{}, errors.New(r.Result.Error)
	}
	return r.Result, nil
}

// ask sends a call to the leader and follows it until the call is answered or
// the context ends. Resends carry the same command, which is applied once.
func (c *Control) ask(ctx context.Context, method string, params any, out *reply) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return errors.WithMessage(err, method)
	}
	last := errors.New("no replica has answered")
	at := c.firstReplica()
	for turn := 0; ; turn++ {
		if at == "" {
			at = c.pick(turn)
		}
		r, err := c.attempt(ctx, at, method, raw)
		if err == nil && !r.Retry {
			c.leader.set(at)
			return finish(method, at, r, out)
		}
		if err != nil {
			last = errors.WithMessagef(err, "%s at %s", method, at)
		}
		c.metrics.retries.Inc()
		at = c.follow(at, r)
		select {
		case <-ctx.Done():
			return errors.WithMessage(last, method+": "+ctx.Err().Error())
		case <-time.After(retryPause):
		}
	}
}

// firstReplica returns the replica to ask first: the known leader, or "".
func (c *Control) firstReplica() string {
	if c.members == nil {
		return c.leader.get()
	}
	if leader, _ := c.members.Leader(); leader != "" && c.reachable(leader) {
		return leader
	}
	return ""
}

func finish(method, at string, r reply, out *reply) error {
	if r.Error != "" {
		return errors.Errorf("%s at %s: %s", method, at, r.Error)
	}
	if out != nil {
		*out = r
	}
	return nil
}

// follow returns the leader that a replica has named, or "" to pick another.
func (c *Control) follow(at string, r reply) string {
	if r.Leader != "" && (r.Leader != at || r.Retry) && c.reachable(r.Leader) {
		return r.Leader
	}
	return ""
}

func (c *Control) reachable(name string) bool { return name == c.mesh.Self() || c.mesh.Reachable(name) }

// pick returns the replicas in turn, those first that can be reached.
func (c *Control) pick(turn int) string {
	var up []string
	for _, name := range c.others() {
		if c.reachable(name) {
			up = append(up, name)
		}
	}
	if len(up) == 0 {
		up = c.others()
	}
	return up[turn%len(up)]
}

func (c *Control) attempt(ctx context.Context, at, method string, raw json.RawMessage) (reply, error) {
	if at == c.mesh.Self() {
		return c.serve(ctx, method, raw), nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.attemptLimit(method))
	defer cancel()
	var r reply
	err := c.mesh.Call(ctx, at, method, raw, &r)
	return r, err
}

// attemptLimit bounds the wait for one replica. Operators of a fleet that discovers
// its instances wait a second for a call, so that a silent replica must not take
// all of it.
func (c *Control) attemptLimit(method string) time.Duration {
	switch {
	case c.members == nil:
		return limitOf(method) + answerMargin
	case method == methodSubmit:
		return discoveredSubmitLimit
	}
	return discoveredCallLimit
}

// summary describes a change for the history.
func summary(v *api.View, s *fleetstate.Submit) string {
	text := ""
	if s.Config != nil {
		text = fmt.Sprintf("document: %d differences", len(fleetconfig.Diff(v.Config, s.Config)))
	}
	if s.DataCentre == "" {
		return text
	}
	if text != "" {
		text += "; "
	}
	if s.Out {
		return text + s.DataCentre + " out of service"
	}
	return text + s.DataCentre + " back in service"
}
