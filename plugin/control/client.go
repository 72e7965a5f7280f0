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
	// responseMargin is added to the serving replica's own timeout, so that the
	// reply of a working replica still arrives. An attempt at a silent replica ends
	// earlier, because the mesh closes the link.
	responseMargin = 500 * time.Millisecond
	// retryInterval is the wait between two attempts.
	retryInterval = 50 * time.Millisecond
)

// leaderHint holds the name of the instance that completed the last call.
// It is safe for concurrent use.
type leaderHint struct{ name atomic.Pointer[string] }

func (h *leaderHint) get() string {
	if p := h.name.Load(); p != nil {
		return *p
	}
	return ""
}

func (h *leaderHint) set(name string) { h.name.Store(&name) }

// idSource generates command ids that are unique in the fleet: a random prefix
// and a counter.
type idSource struct {
	prefix string
	count  atomic.Uint64
	once   sync.Once
}

func (s *idSource) setRandomPrefix() error {
	var raw [8]byte
	_, err := rand.Read(raw[:])
	s.once.Do(func() { s.prefix = hex.EncodeToString(raw[:]) })
	return errors.WithMessage(err, "control: generate prefix of command ids")
}

func (s *idSource) next() string { return fmt.Sprintf("%s-%d", s.prefix, s.count.Add(1)) }

// Submit implements api.Control. It returns the result of the change after a majority
// of the disks has synced it and, with listed instances, a majority of all instances has
// the view. A missing change id and an invalid document are reported in the result's
// Error, a conflicting change in its ConflictingChange. After an error the outcome is
// unknown; the caller may submit again with the same change id, which is applied at most
// once.
func (c *Control) Submit(ctx context.Context, s api.Submission) (api.SubmitResult, error) {
	if s.ChangeID == "" {
		return api.SubmitResult{Error: "change id is missing"}, nil
	}
	if s.OnNewestRevision && s.DataCentre != "" && s.BaseOrders == nil {
		orders, err := c.ReadOrders(ctx)
		if err != nil {
			return api.SubmitResult{}, err
		}
		s.BaseOrders = &orders
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

// Claim implements api.Control. It claims the key for holder, or returns the state
// of the existing claim. It retries until ctx ends.
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

// SettleClaim implements api.Control. It stores the outcome of holder's claim; a nil
// outcome releases the claim. It retries until ctx ends.
func (c *Control) SettleClaim(ctx context.Context, key api.ClaimKey, holder string, outcome *api.ClaimOutcome) error {
	_, err := c.command(ctx, methodSettle, fleetstate.Command{
		ID: c.ids.next(), Settle: &fleetstate.Settle{Key: key, Holder: holder, Outcome: outcome},
	})
	return err
}

// NewOrderToken implements api.Control. It returns a new fencing token for orders to
// the targets of the pool. It retries until ctx ends.
func (c *Control) NewOrderToken(ctx context.Context, pool string) (uint64, error) {
	r, err := c.command(ctx, methodEpoch, fleetstate.Command{
		ID: c.ids.next(), Epoch: &fleetstate.OrderEpoch{Pool: pool},
	})
	return r.Epoch, err
}

// ReadRevision implements api.Control. It returns the newest view revision by a
// linearizable read: a quorum confirms the leader after the call has started. It retries
// until ctx ends.
func (c *Control) ReadRevision(ctx context.Context) (uint64, error) {
	var r reply
	err := c.callLeader(ctx, methodRead, struct{}{}, &r)
	return r.Revision, err
}

// ReadOrders implements api.Control. It retries until ctx ends.
func (c *Control) ReadOrders(ctx context.Context) (uint64, error) {
	var r reply
	err := c.callLeader(ctx, methodRead, struct{}{}, &r)
	return r.Orders, err
}

// ReadView implements api.Control. It returns the newest view by a linearizable read,
// like ReadRevision.
func (c *Control) ReadView(ctx context.Context) (*api.View, error) {
	var r reply
	if err := c.callLeader(ctx, methodView, struct{}{}, &r); err != nil {
		return nil, err
	}
	if r.View == nil {
		return nil, errors.New("control: read: answer holds no view")
	}
	return r.View, nil
}

// SaveRolloutAccount implements api.Control. It retries until ctx ends.
func (c *Control) SaveRolloutAccount(ctx context.Context, a api.RolloutAccount) error {
	_, err := c.command(ctx, methodAccount, fleetstate.Command{ID: c.ids.next(), Account: &a})
	return err
}

// ReadRolloutAccounts implements api.Control. It retries until ctx ends.
func (c *Control) ReadRolloutAccounts(ctx context.Context) (map[string]api.RolloutAccount, error) {
	var r reply
	err := c.callLeader(ctx, methodAccounts, struct{}{}, &r)
	return r.Accounts, err
}

// History implements api.Control. It returns at most limit changes, newest first, by a
// linearizable read; a limit of 0 or less returns up to maxHistoryEntries.
func (c *Control) History(ctx context.Context, limit int) ([]api.HistoryEntry, error) {
	var r reply
	err := c.callLeader(ctx, methodHistory, struct{}{}, &r)
	if limit > 0 && limit < len(r.History) {
		r.History = r.History[:limit]
	}
	return r.History, err
}

// command runs a command through the log and returns the result of applying it.
func (c *Control) command(ctx context.Context, method string, cmd fleetstate.Command) (fleetstate.Result, error) {
	var r reply
	if err := c.callLeader(ctx, method, cmd, &r); err != nil {
		return fleetstate.Result{}, err
	}
	if r.Result.Error != "" {
		return fleetstate.Result{}, errors.New(r.Result.Error)
	}
	return r.Result, nil
}

// callLeader calls the leader, with retries at other replicas after failed attempts
// and changes of the leader, until a reply is final or ctx ends. A retry carries the
// same command id, so the command is applied once.
func (c *Control) callLeader(ctx context.Context, method string, params any, out *reply) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return errors.WithMessage(err, method)
	}
	lastErr := errors.New("no replica has answered")
	instance := c.knownLeader()
	for attempt := 0; ; attempt++ {
		if instance == "" {
			instance = c.pickReplica(attempt)
		}
		r, err := c.callReplica(ctx, instance, method, raw)
		if err == nil && !r.Retry {
			c.leader.set(instance)
			return copyReply(method, instance, r, out)
		}
		if err != nil {
			lastErr = errors.WithMessagef(err, "%s at %s", method, instance)
		}
		c.metrics.retries.Inc()
		instance = c.leaderFrom(instance, r)
		select {
		case <-ctx.Done():
			return errors.WithMessage(lastErr, method+": "+ctx.Err().Error())
		case <-time.After(retryInterval):
		}
	}
}

// knownLeader returns the instance to call first, or "" if no leader is known: with
// listed instances the one that completed the last call, with discovered instances the
// leader that the topology reports, if it is reachable.
func (c *Control) knownLeader() string {
	if c.topology == nil {
		return c.leader.get()
	}
	if leader, _ := c.topology.Leader(); leader != "" && c.reachable(leader) {
		return leader
	}
	return ""
}

// copyReply copies a final reply to out, or returns the error that it carries.
func copyReply(method, instance string, r reply, out *reply) error {
	if r.Error != "" {
		return errors.Errorf("%s at %s: %s", method, instance, r.Error)
	}
	if out != nil {
		*out = r
	}
	return nil
}

// leaderFrom returns the reachable leader that a reply names, or "" to let
// pickReplica choose the next instance.
func (c *Control) leaderFrom(instance string, r reply) string {
	if r.Leader != "" && (r.Leader != instance || r.Retry) && c.reachable(r.Leader) {
		return r.Leader
	}
	return ""
}

func (c *Control) reachable(name string) bool { return name == c.mesh.Self() || c.mesh.Reachable(name) }

// pickReplica rotates through the reachable replica instances, or through all of
// them if none is reachable.
func (c *Control) pickReplica(attempt int) string {
	var reachable []string
	for _, name := range c.replicaInstances() {
		if c.reachable(name) {
			reachable = append(reachable, name)
		}
	}
	if len(reachable) == 0 {
		reachable = c.replicaInstances()
	}
	return reachable[attempt%len(reachable)]
}

// callReplica makes one attempt at an instance; the own instance is called directly.
func (c *Control) callReplica(ctx context.Context, instance, method string, raw json.RawMessage) (reply, error) {
	if instance == c.mesh.Self() {
		return c.serve(ctx, method, raw), nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.attemptTimeout(method))
	defer cancel()
	var r reply
	err := c.mesh.Call(ctx, instance, method, raw, &r)
	return r, err
}

// attemptTimeout bounds the wait for one replica. In a fleet that discovers its
// instances, operators wait only a second for a call, and a silent replica must not
// use up all of it.
func (c *Control) attemptTimeout(method string) time.Duration {
	switch {
	case c.topology == nil:
		return serveTimeout(method) + responseMargin
	case method == methodSubmit:
		return discoveredSubmitTimeout
	}
	return discoveredCallTimeout
}

// changeSummary returns the text that describes a submitted change in the history.
// v is the view that the change replaces.
func changeSummary(v *api.View, s *fleetstate.Submit) string {
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
