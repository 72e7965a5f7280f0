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

// Methods between instances.
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
)

// Bounds of the work on one call. The caller then tries again with the same id, so
// they may be shorter than a change takes to be accepted.
const (
	serveLimit  = 2 * time.Second
	submitLimit = 6 * time.Second // a large document takes time to decode and to send
)

func limitOf(method string) time.Duration {
	if method == methodSubmit {
		return submitLimit
	}
	return serveLimit
}

// reply answers every call to the leader.
type reply struct {
	// Retry tells the caller to try again, at Leader if that is known.
	Retry  bool              `json:"retry,omitempty"`
	Leader string            `json:"leader,omitempty"`
	Error  string            `json:"error,omitempty"`
	Result fleetstate.Result `json:"result"`
	// Revision, View and History answer reads.
	Revision uint64             `json:"revision,omitempty"`
	View     *api.View          `json:"view,omitempty"`
	History  []api.HistoryEntry `json:"history,omitempty"`
}

func (c *Control) registerHandlers() {
	c.mesh.Handle(methodRaft, c.handleRaft)
	c.mesh.Handle(methodProbe, c.handleProbe)
	for _, method := range []string{
		methodJoin, methodSubmit, methodClaim, methodSettle, methodEpoch, methodRead, methodHistory, methodView,
	} {
		c.mesh.Handle(method, func(ctx context.Context, _ string, params json.RawMessage) (any, error) {
			return c.serve(ctx, method, params), nil
		})
	}
}

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
			c.inbox.Push(received{from, m})
			return nil, nil
		}
	}
	c.metrics.malformed.Inc()
	return nil, errors.WithMessagef(err, "control: raft from %s", from)
}

func (c *Control) handleProbe(ctx context.Context, _ string, _ json.RawMessage) (any, error) {
	if c.replica == nil {
		return nil, errors.New("control: probe: instance has no replica")
	}
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	a := c.inLoop(ctx, func(r *replica, done func(answer)) { done(answer{probe: r.probe()}) })
	return a.probe, a.err
}

// serve handles a call on this instance.
func (c *Control) serve(ctx context.Context, method string, params json.RawMessage) reply {
	if c.replica == nil {
		return reply{Retry: true}
	}
	ctx, cancel := context.WithTimeout(ctx, limitOf(method))
	defer cancel()
	a, err := c.dispatch(ctx, method, params)
	if err != nil {
		return reply{Error: err.Error()}
	}
	if a.err == nil && a.result.Submit != nil {
		a.err = c.waitAccepted(ctx, a.result.Submit)
	}
	switch {
	case a.err == nil:
		return reply{Result: a.result, Revision: a.state.revision, View: a.state.view, History: a.state.history}
	case errors.Is(a.err, errRetry), ctx.Err() != nil:
		return reply{Retry: true, Leader: c.Status().Leader}
	}
	return reply{Error: a.err.Error()}
}

func (c *Control) dispatch(ctx context.Context, method string, params json.RawMessage) (answer, error) {
	switch method {
	case methodJoin:
		var p joinParams
		if err := json.Unmarshal(params, &p); err != nil {
			return answer{}, errors.WithMessage(err, "control: join")
		}
		return c.inLoop(ctx, func(r *replica, done func(answer)) { r.join(p, done) }), nil
	case methodRead, methodHistory, methodView:
		a := c.inLoop(ctx, func(r *replica, done func(answer)) { r.read(done) })
		if method != methodHistory {
			a.state.history = nil
		}
		if method != methodView {
			a.state.view = nil
		}
		return a, nil
	}
	var cmd fleetstate.Command
	if err := json.Unmarshal(params, &cmd); err != nil {
		return answer{}, errors.WithMessage(err, method)
	}
	if method == methodSubmit && cmd.Submit != nil {
		return c.serveSubmit(ctx, cmd), nil
	}
	return c.inLoop(ctx, func(r *replica, done func(answer)) { r.propose(cmd, done) }), nil
}

// serveSubmit validates a new change outside the replica's goroutine and proposes
// it. Resends skip this: a document of 12,000 targets takes its time.
func (c *Control) serveSubmit(ctx context.Context, cmd fleetstate.Command) answer {
	s := cmd.Submit
	a := c.inLoop(ctx, func(r *replica, done func(answer)) { r.known(s.ChangeID, done) })
	if a.err != nil || a.result.Submit != nil {
		return a
	}
	if s.Config != nil {
		if err := fleetconfig.Validate(s.Config); err != nil {
			return answer{result: fleetstate.Result{Submit: &api.SubmitResult{Error: err.Error()}}}
		}
	}
	s.Summary = summary(c.fleet.View(), s)
	return c.inLoop(ctx, func(r *replica, done func(answer)) { r.propose(cmd, done) })
}

// acceptPoll is the interval at which the views of the instances are looked at.
const acceptPoll = 10 * time.Millisecond

// waitAccepted waits until a majority of all instances has the view, so that
// every later lease depends on an instance that has it.
func (c *Control) waitAccepted(ctx context.Context, s *api.SubmitResult) error {
	if s.Conflict != "" {
		c.metrics.conflicts.Inc()
		return nil
	}
	if s.Revision == 0 || c.lease == nil {
		return nil
	}
	t := time.NewTicker(acceptPoll)
	defer t.Stop()
	for !c.majorityHas(s.Revision) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
	c.metrics.accepted.Inc()
	return nil
}

func (c *Control) majorityHas(revision uint64) bool {
	have := 0
	if c.fleet.View().Revision >= revision {
		have++
	}
	peers := c.mesh.Peers()
	for _, p := range peers {
		if c.lease.Revision(p) >= revision {
			have++
		}
	}
	return have > (len(peers)+1)/2
}
