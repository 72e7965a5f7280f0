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
	relayMethod  = "relay"
	reportLife   = 2 * time.Second  // a peer's report of its links is used this long
	relayedLimit = 10 * time.Second // longest relayed call
)

// envelope is the content of a relay message.
type envelope struct {
	To     string          `json:"to"`
	From   string          `json:"from"`
	Method string          `json:"m"`
	Params json.RawMessage `json:"p,omitempty"`
	// LimitMs is the time that the origin waits for a call's reply.
	LimitMs int64 `json:"t,omitempty"`
}

// report is what a peer said about its own links.
type report struct {
	at        time.Duration
	unreached []string
}

// Report implements api.Links.
func (m *Mesh) Report(peer string, unreached []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reports[peer] = report{m.clock.Now(), slices.Clone(unreached)}
}

// Unreached implements api.Links.
func (m *Mesh) Unreached() []string {
	var out []string
	for _, p := range m.peers {
		if m.links[p].up() == nil {
			out = append(out, p)
		}
	}
	return out
}

// relays returns the sessions with peers that report a working link to the
// destination, in a fixed order so that messages keep theirs.
func (m *Mesh) relays(to string) []*session {
	var out []*session
	now := m.clock.Now()
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, p := range m.peers {
		r, ok := m.reports[p]
		if p == to || !ok || now-r.at > reportLife || slices.Contains(r.unreached, to) {
			continue
		}
		if s := m.links[p].up(); s != nil {
			out = append(out, s)
		}
	}
	return out
}

// notifyRelay sends a notification through the first relay that takes it.
func (m *Mesh) notifyRelay(to, method string, params json.RawMessage) error {
	err := errNoPath
	for _, s := range m.relays(to) {
		err = s.conn.Notify(context.Background(), relayMethod, envelope{To: to, From: m.self, Method: method, Params: params})
		if err == nil {
			m.origin(to).count.relayed.Inc()
			return nil
		}
	}
	return err
}

// callRelay makes a call through the first relay that has a path.
func (m *Mesh) callRelay(ctx context.Context, to, method string, params json.RawMessage, result any) error {
	err := errNoPath
	for _, s := range m.relays(to) {
		e := envelope{To: to, From: m.self, Method: method, Params: params, LimitMs: limitOf(ctx)}
		m.origin(to).count.relayed.Inc()
		err = s.conn.Call(ctx, relayMethod, e, result)
		var re *jsonrpc2.Error
		if !errors.As(err, &re) || re.Code != codeNoPath {
			return err
		}
	}
	return err
}

func limitOf(ctx context.Context) int64 {
	if d, ok := ctx.Deadline(); ok {
		return max(1, time.Until(d).Milliseconds())
	}
	return relayedLimit.Milliseconds()
}

// handleRelay delivers an envelope that is for this instance and forwards any
// other over its direct link: one hop, so that no message can circle.
func (m *Mesh) handleRelay(ctx context.Context, msg message, reply replyFunc) {
	var e envelope
	err := json.Unmarshal(msg.params, &e)
	if err == nil && m.links[e.From] == nil {
		err = errors.Errorf("unknown origin %q", e.From)
	}
	if err != nil {
		m.origin("").count.malformed.Inc()
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

func (m *Mesh) forward(ctx context.Context, e envelope, reply replyFunc) {
	var s *session
	if l := m.links[e.To]; l != nil {
		s = l.up()
	}
	if s == nil {
		m.origin(e.From).count.noPath.Inc()
		if reply != nil {
			reply(nil, &jsonrpc2.Error{Code: codeNoPath, Message: "no link from " + m.self + " to " + e.To})
		}
		return
	}
	if reply == nil {
		_ = s.conn.Notify(ctx, relayMethod, e)
		return
	}
	h := func(ctx context.Context, _ string, _ json.RawMessage) (any, error) {
		limit := min(time.Duration(e.LimitMs)*time.Millisecond, relayedLimit)
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		var raw json.RawMessage
		err := s.conn.Call(ctx, relayMethod, e, &raw)
		return raw, err
	}
	m.deliverCall(ctx, e.From, message{method: e.Method}, h, reply)
}
