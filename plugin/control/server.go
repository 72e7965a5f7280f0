package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
	"nutmegrouter/internal/consensus"
	"nutmegrouter/internal/fleetstate"
)

// RPC methods between instances.
const (
	methodRaft    = "raft"
	methodProbe   = "control.probe"
	methodJoin    = "control.join"
	methodSubmit  = "control.submit"
	methodClaim   = "control.claim"
	methodSettle  = "control.settle"
	methodEpoch   = "control.epoch"
	methodRead    = "control.read"
	methodHistory = "control.history"
	methodView    = "control.view"
	// methodAccount stores the account of a rollout, methodAccounts reads all of them.
	methodAccount  = "control.account"
	methodAccounts = "control.accounts"
)

// Timeouts of the serving replica for one call. They may be shorter than the time
// until a change is accepted, because the caller retries with the same id.
const (
	defaultServeTimeout = 2 * time.Second
	submitServeTimeout  = 6 * time.Second // decoding and replicating a large document takes longer
)

// serveTimeout returns the serving replica's timeout for a method.
func serveTimeout(method string) time.Duration {
	if method == methodSubmit {
		return submitServeTimeout
	}
	return defaultServeTimeout
}

// reply is the response to every call to the leader.
type reply struct {
	// Retry asks the caller to retry, at Leader if that is known.
	Retry  bool              `json:"retry,omitempty"`
	Leader string            `json:"leader,omitempty"`
	Error  string            `json:"error,omitempty"`
	Result fleetstate.Result `json:"result"`
	// Revision, Orders, View, History and Accounts are set in replies to reads.
	Revision uint64                        `json:"revision,omitempty"`
	Orders   uint64                        `json:"orders,omitempty"`
	View     *api.View                     `json:"view,omitempty"`
	History  []api.HistoryEntry            `json:"history,omitempty"`
	Accounts map[string]api.RolloutAccount `json:"accounts,omitempty"`
}

func (c *Control) registerHandlers() {
	c.mesh.Handle(methodRaft, c.handleRaft)
	c.mesh.Handle(methodProbe, c.handleProbe)
	for _, method := range []string{
		methodJoin, methodSubmit, methodClaim, methodSettle, methodEpoch, methodRead, methodHistory, methodView,
		methodAccount, methodAccounts,
	} {
		c.mesh.Handle(method, func(ctx context.Context, _ string, params json.RawMessage) (any, error) {
			return c.serve(ctx, method, params), nil
		})
	}
}

// handleRaft queues a Raft message for the replica. A full ring drops it; the sender's
// node resends.
func (c *Control) handleRaft(_ context.Context, from string, params json.RawMessage) (any, error) {
	if c.replica == nil {
		return nil, errors.New("control: raft: instance has no replica")
	}
	var raw []byte
	err := json.Unmarshal(params, &raw)
	if err == nil {
		raw, err = unpack(raw)
	}
	if err == nil {
		var m consensus.Message
		if m, err = consensus.DecodeMessage(raw); err == nil {
			c.metrics.received.Inc()
			c.inbox.Push(receivedMessage{from, m})
			return nil, nil
		}
	}
	c.metrics.malformed.Inc()
	return nil, errors.WithMessagef(err, "control: raft from %s", from)
}

// handleProbe returns the probeReply of the local replica.
func (c *Control) handleProbe(ctx context.Context, _ string, _ json.RawMessage) (any, error) {
	if c.replica == nil {
		return nil, errors.New("control: probe: instance has no replica")
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	res := c.runOnReplica(ctx, func(r *replica, done func(callResult)) { done(callResult{probe: r.probe()}) })
	return res.probe, res.err
}

// serve handles a call on this instance and returns the reply. It asks the caller to
// retry if there is no replica here, the replica is not the leader, or time runs out.
func (c *Control) serve(ctx context.Context, method string, params json.RawMessage) reply {
	if c.replica == nil {
		return reply{Retry: true}
	}
	ctx, cancel := context.WithTimeout(ctx, serveTimeout(method))
	defer cancel()
	res, err := c.dispatch(ctx, method, params)
	if err != nil {
		return reply{Error: err.Error()}
	}
	if res.err == nil && res.result.Submit != nil {
		res.err = c.waitForMajority(ctx, res.result.Submit)
	}
	switch {
	case res.err == nil:
		return reply{Result: res.result, Revision: res.state.revision, Orders: res.state.orders, View: res.state.view, History: res.state.history, Accounts: res.state.accounts}
	case errors.Is(res.err, errRetry), ctx.Err() != nil:
		return reply{Retry: true, Leader: c.Status().Leader}
	}
	return reply{Error: res.err.Error()}
}

// dispatch runs a call on the replica. The error reports malformed parameters; errors
// of the call itself are in the result.
func (c *Control) dispatch(ctx context.Context, method string, params json.RawMessage) (callResult, error) {
	switch method {
	case methodJoin:
		var p joinParams
		if err := json.Unmarshal(params, &p); err != nil {
			return callResult{}, errors.WithMessage(err, "control: join")
		}
		return c.runOnReplica(ctx, func(r *replica, done func(callResult)) { r.join(p, done) }), nil
	case methodRead, methodHistory, methodView, methodAccounts:
		res := c.runOnReplica(ctx, func(r *replica, done func(callResult)) { r.readIndex(done) })
		if method != methodHistory {
			res.state.history = nil
		}
		if method != methodView {
			res.state.view = nil
		}
		if method != methodAccounts {
			res.state.accounts = nil
		}
		return res, nil
	}
	var cmd fleetstate.Command
	if err := json.Unmarshal(params, &cmd); err != nil {
		return callResult{}, errors.WithMessage(err, method)
	}
	if method == methodSubmit && cmd.Submit != nil {
		return c.serveSubmit(ctx, cmd), nil
	}
	return c.runOnReplica(ctx, func(r *replica, done func(callResult)) { r.propose(cmd, done) }), nil
}

// serveSubmit validates a new change outside the replica's goroutine and proposes it.
// Retries of a known change skip the validation, which is slow for a large document
// (12,000 targets).
func (c *Control) serveSubmit(ctx context.Context, cmd fleetstate.Command) callResult {
	s := cmd.Submit
	res := c.runOnReplica(ctx, func(r *replica, done func(callResult)) { r.findChange(s.ChangeID, done) })
	if res.err != nil || res.result.Submit != nil {
		return res
	}
	if s.Config != nil {
		if err := fleetconfig.Validate(s.Config); err != nil {
			return callResult{result: fleetstate.Result{Submit: &api.SubmitResult{Error: err.Error()}}}
		}
	}
	s.Summary = changeSummary(c.fleet.View(), s)
	return c.runOnReplica(ctx, func(r *replica, done func(callResult)) { r.propose(cmd, done) })
}

// acceptPollInterval is the interval at which waitForMajority checks the revisions of
// the instances.
const acceptPollInterval = 10 * time.Millisecond

// waitForMajority waits until a majority of all instances has the view of an accepted
// change, so that the majority behind any later lease includes an instance that has
// it. It returns at once for conflicts, for results without a revision, and if
// instances are discovered. It returns the error of ctx when that ends first.
func (c *Control) waitForMajority(ctx context.Context, s *api.SubmitResult) error {
	if s.ConflictingChange != "" {
		c.metrics.conflicts.Inc()
		return nil
	}
	if s.Revision == 0 || c.lease == nil {
		return nil
	}
	t := time.NewTicker(acceptPollInterval)
	defer t.Stop()
	for !c.majorityHasRevision(s.Revision) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
	c.metrics.accepted.Inc()
	return nil
}

// majorityHasRevision reports whether a majority of all instances has a revision.
func (c *Control) majorityHasRevision(revision uint64) bool {
	count := 0
	if c.fleet.View().Revision >= revision {
		count++
	}
	peers := c.mesh.Peers()
	for _, p := range peers {
		if c.lease.PeerRevision(p) >= revision {
			count++
		}
	}
	return count > (len(peers)+1)/2
}
