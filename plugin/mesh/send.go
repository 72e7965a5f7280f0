package mesh

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
)

var (
	errNoPath      = errors.New("no path")
	errUnknownPeer = errors.New("unknown peer")
)

// Notify implements api.Mesh.
func (m *Mesh) Notify(to, method string, params any) error {
	return errors.WithMessagef(m.notify(to, method, params), "mesh: notify %s to %s", method, to)
}

func (m *Mesh) notify(to, method string, params any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	if to == m.self {
		if !m.inboxes[to].Push(message{method, raw}) {
			return ErrQueueFull
		}
		return nil
	}
	l := m.links[to]
	if l == nil {
		return errUnknownPeer
	}
	if s := l.up(); s != nil {
		return s.conn.Notify(context.Background(), method, json.RawMessage(raw))
	}
	err = m.notifyRelay(to, method, raw)
	if errors.Is(err, errNoPath) {
		m.count[to].noPath.Inc()
	}
	return err
}

// Call implements api.Mesh. A call that was sent is never sent again: the
// handler may have run although no reply arrived.
func (m *Mesh) Call(ctx context.Context, to, method string, params, result any) error {
	return errors.WithMessagef(m.call(ctx, to, method, params, result), "mesh: call %s on %s", method, to)
}

func (m *Mesh) call(ctx context.Context, to, method string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	if to == m.self {
		return m.callSelf(ctx, method, raw, result)
	}
	l := m.links[to]
	if l == nil {
		return errUnknownPeer
	}
	if s := l.up(); s != nil {
		return s.conn.Call(ctx, method, json.RawMessage(raw), result)
	}
	err = m.callRelay(ctx, to, method, raw, result)
	if errors.Is(err, errNoPath) {
		m.count[to].noPath.Inc()
	}
	return err
}

// callSelf runs the local handler through the same encoding as a remote one.
func (m *Mesh) callSelf(ctx context.Context, method string, params json.RawMessage, result any) error {
	h := m.handler(method)
	if h == nil {
		return errors.Errorf("unknown method %s", method)
	}
	got, err := h(ctx, m.self, params)
	if err != nil || result == nil {
		return err
	}
	raw, err := json.Marshal(got)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// Reachable implements api.Mesh.
func (m *Mesh) Reachable(peer string) bool {
	if peer == m.self {
		return true
	}
	l := m.links[peer]
	return l != nil && (l.up() != nil || len(m.relays(peer)) > 0)
}
