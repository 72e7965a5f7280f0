package mesh

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	relayMethod        = "relay"
	maxReportAge       = 2 * time.Second  // a peer's link report is valid for this long
	maxRelayedCallTime = 10 * time.Second // upper bound of a relayed call's timeout
)

// envelope wraps a message that is sent through a relay.
type envelope struct {
	To     string          `json:"to"`
	From   string          `json:"from"`
	Method string          `json:"m"`
	Params json.RawMessage `json:"p,omitempty"`
	// TimeoutMs is how long the origin waits for the reply to a call, in ms.
	TimeoutMs int64 `json:"t,omitempty"`
}

// linkReport lists the instances that a peer does not reach directly.
type linkReport struct {
	receivedAt time.Duration
	unreached  []string
}

// RecordPeersWithoutLink implements api.Links. It stores the link report of a peer: the
// instances to which the peer has no direct link. A report is valid for 2 s.
func (m *Mesh) RecordPeersWithoutLink(peer string, unreached []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reports[peer] = linkReport{m.clock.Now(), slices.Clone(unreached)}
}

// PeersWithoutLink implements api.Links. It returns the sorted names of the peers in the
// settings to which no direct link is open.
func (m *Mesh) PeersWithoutLink() []string {
	var out []string
	for _, p := range m.peers {
		if m.links[p].openSession() == nil {
			out = append(out, p)
		}
	}
	return out
}

// relaySessions returns the sessions with peers whose valid link report does not
// list the destination as unreached. The order is fixed, so that the messages to
// one destination stay in order.
func (m *Mesh) relaySessions(to string) []*session {
	var out []*session
	now := m.clock.Now()
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, p := range m.peers {
		r, ok := m.reports[p]
		if p == to || !ok || now-r.receivedAt > maxReportAge || slices.Contains(r.unreached, to) {
			continue
		}
		if s := m.links[p].openSession(); s != nil {
			out = append(out, s)
		}
	}
	return out
}

// notifyViaRelay sends a notification through the first relay whose send queue
// accepts it.
func (m *Mesh) notifyViaRelay(to, method string, params json.RawMessage) error {
	err := errNoPath
	for _, s := range m.relaySessions(to) {
		err = s.conn.Notify(context.Background(), relayMethod, envelope{To: to, From: m.self, Method: method, Params: params})
		if err == nil {
			m.peerState(to).counters.relayed.Inc()
			return nil
		}
	}
	return err
}

// callViaRelay makes a call through the first relay that has a path to the
// destination.
func (m *Mesh) callViaRelay(ctx context.Context, to, method string, params json.RawMessage, result any) error {
	err := errNoPath
	for _, s := range m.relaySessions(to) {
		e := envelope{To: to, From: m.self, Method: method, Params: params, TimeoutMs: remainingMs(ctx)}
		m.peerState(to).counters.relayed.Inc()
		err = s.conn.Call(ctx, relayMethod, e, result)
		var rpcErr *jsonrpc2.Error
		if !errors.As(err, &rpcErr) || rpcErr.Code != codeNoPath {
			return err
		}
	}
	return err
}

// remainingMs returns the time left until the deadline of ctx in ms, at least 1,
// or maxRelayedCallTime without a deadline.
func remainingMs(ctx context.Context) int64 {
	if d, ok := ctx.Deadline(); ok {
		return max(1, time.Until(d).Milliseconds())
	}
	return maxRelayedCallTime.Milliseconds()
}

// handleRelay delivers an envelope addressed to this instance and forwards any
// other over the direct link to its destination. A message takes one relay at
// most, which rules out loops.
func (m *Mesh) handleRelay(ctx context.Context, msg message, reply replyFunc) {
	var e envelope
	err := json.Unmarshal(msg.params, &e)
	if err == nil && m.links[e.From] == nil {
		err = errors.Errorf("unknown origin %q", e.From)
	}
	if err != nil {
		m.peerState("").counters.malformed.Inc()
		if reply != nil {
			reply(nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()})
		}
		return
	}
	if e.To == m.self {
		m.deliver(ctx, e.From, message{e.Method, e.Params}, reply)
		return
	}
	m.forward(ctx, e, reply)
}

// forward sends an envelope to its destination as the relaying instance. A call
// counts as a call in progress of its origin.
func (m *Mesh) forward(ctx context.Context, e envelope, reply replyFunc) {
	var s *session
	if l := m.links[e.To]; l != nil {
		s = l.openSession()
	}
	if s == nil {
		m.peerState(e.From).counters.noPath.Inc()
		if reply != nil {
			reply(nil, &jsonrpc2.Error{Code: codeNoPath, Message: "no link from " + m.self + " to " + e.To})
		}
		return
	}
	if reply == nil {
		_ = s.conn.Notify(ctx, relayMethod, e)
		return
	}
	handler := func(ctx context.Context, _ string, _ json.RawMessage) (any, error) {
		limit := min(time.Duration(e.TimeoutMs)*time.Millisecond, maxRelayedCallTime)
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		var raw json.RawMessage
		err := s.conn.Call(ctx, relayMethod, e, &raw)
		return raw, err
	}
	m.startCall(ctx, e.From, message{method: e.Method}, handler, reply)
}
