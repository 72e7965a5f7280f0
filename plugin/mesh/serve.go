package mesh

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Bounds on the work that one peer can cause. A connection without a handshake
// within handshakeTimeout is closed.
const (
	maxInboxMessages = 4096 // notifications queued for their handlers
	maxCallsPerPeer  = 256  // calls in progress, except heartbeats
	handshakeTimeout = 2 * time.Second
)

// Codes of JSON-RPC errors of the mesh.
const (
	codeHandler      = -32000 // the handler returned an error
	codeNoPath       = -32001 // the relaying instance has no link to the destination
	codeTooManyCalls = -32002 // the peer has maxCallsPerPeer calls in progress
)

// message is a request from a peer, received directly or through a relay.
type message struct {
	method string
	params json.RawMessage
}

// accept serves incoming connections until the listener is closed.
func (m *Mesh) accept(ctx context.Context) error {
	for {
		conn, err := m.listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return ctx.Err()
		}
		if err != nil {
			m.log.Warn("accept failed", "step", "accept", "error", err)
			time.Sleep(minBackoff) // usually out of file descriptors; an immediate retry would be a busy loop
			continue
		}
		m.goTracked(func() { m.serveConn(ctx, conn) })
	}
}

// serveConn serves one incoming connection until it is closed. It closes a
// connection whose handshake fails or takes longer than handshakeTimeout.
func (m *Mesh) serveConn(ctx context.Context, conn net.Conn) {
	handler := &requestHandler{mesh: m, ctx: ctx, handshakeDone: make(chan struct{}), sessionSet: make(chan struct{})}
	s := m.newSession(ctx, conn, m.peerState("").counters, handler)
	handler.session = s
	close(handler.sessionSet)
	defer s.close()
	select {
	case <-handler.handshakeDone:
		<-s.conn.DisconnectNotify()
		m.clearIncoming(s)
	case <-time.After(handshakeTimeout):
	case <-s.conn.DisconnectNotify():
	}
}

// requestHandler handles the requests that a peer sends over one connection. Its
// methods run in the connection's read loop and must not block once the session is
// set.
type requestHandler struct {
	mesh          *Mesh
	ctx           context.Context
	session       *session
	sessionSet    chan struct{} // closed once session is set, and on a dialled connection peer
	handshakeDone chan struct{} // closed after the handshake; nil on a dialled connection
	peer          string        // "" before the handshake
}

// Handle implements jsonrpc2.Handler.
func (rh *requestHandler) Handle(_ context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-rh.sessionSet
	reply := newReplyFunc(c, req)
	if rh.peer == "" {
		rh.handleHandshake(req, reply)
		return
	}
	msg := message{method: req.Method}
	if req.Params != nil {
		msg.params = *req.Params
	}
	if req.Method == relayMethod {
		rh.mesh.handleRelay(rh.ctx, msg, reply)
		return
	}
	rh.mesh.deliver(rh.ctx, rh.peer, msg, reply)
}

// handleHandshake checks and answers the first message. It closes the connection if
// the message is not a valid handshake.
func (rh *requestHandler) handleHandshake(req *jsonrpc2.Request, reply replyFunc) {
	h, err := rh.mesh.checkHandshake(req)
	if err != nil {
		rh.mesh.peerState("").counters.malformed.Inc()
		rh.mesh.log.Warn("handshake refused", "step", "hello", "peer", h.Instance, "error", err)
		go func() { _ = rh.session.conn.Close() }()
		return
	}
	rh.peer, rh.session.peer, rh.session.incarnation = h.Instance, h.Instance, h.Incarnation
	rh.session.stream.counters.Store(rh.mesh.peerState(h.Instance).counters)
	rh.mesh.setIncoming(h.Instance, rh.session)
	close(rh.handshakeDone)
	if reply != nil {
		reply(rh.mesh.handshake(""), nil)
	}
	rh.mesh.notifyLinkChange(h, true)
	if l := rh.mesh.dialledLinkTo(h.Instance); l != nil {
		l.redialNow()
	}
}

// checkHandshake decodes a handshake and checks that it is addressed to this
// instance and, without a link manager, that the sender is a peer in the settings.
func (m *Mesh) checkHandshake(req *jsonrpc2.Request) (handshake, error) {
	var h handshake
	if req.Method != handshakeMethod || req.Params == nil {
		return h, errors.Errorf("first message is %q, not a handshake", req.Method)
	}
	if err := json.Unmarshal(*req.Params, &h); err != nil {
		return h, err
	}
	if h.To != m.self && (m.linkManager == nil || h.To != "") {
		return h, errors.Errorf("handshake is addressed to %q", h.To)
	}
	if m.linkManager == nil && m.links[h.Instance] == nil {
		return h, errors.New("sender is not a peer in the settings")
	}
	return h, nil
}

// setIncoming makes s the incoming session of the peer and closes the previous one:
// a peer opens a second connection only after it has abandoned the first.
func (m *Mesh) setIncoming(peer string, s *session) {
	m.mu.Lock()
	old := m.incoming[peer]
	m.incoming[peer] = s
	m.mu.Unlock()
	if old != nil {
		go func() { _ = old.conn.Close() }()
	}
}

// clearIncoming removes a closed session, unless a newer one has replaced it.
func (m *Mesh) clearIncoming(s *session) {
	m.mu.Lock()
	current := m.incoming[s.peer] == s
	if current {
		delete(m.incoming, s.peer)
	}
	m.mu.Unlock()
	if current {
		m.notifyLinkChange(handshake{Instance: s.peer, Incarnation: s.incarnation}, false)
	}
}

// replyFunc sends the reply to a call. It is nil for a notification.
type replyFunc func(result any, err error)

func newReplyFunc(c *jsonrpc2.Conn, req *jsonrpc2.Request) replyFunc {
	if req.Notif {
		return nil
	}
	return func(result any, err error) {
		if err != nil {
			_ = c.ReplyWithError(context.Background(), req.ID, toRPCError(err))
			return
		}
		_ = c.Reply(context.Background(), req.ID, result)
	}
}

// toRPCError returns the JSON-RPC error in the chain of err, so that the code of a
// forwarded call is kept, or wraps err with codeHandler.
func toRPCError(err error) *jsonrpc2.Error {
	var e *jsonrpc2.Error
	if errors.As(err, &e) {
		return e
	}
	return &jsonrpc2.Error{Code: codeHandler, Message: err.Error()}
}

// deliver passes a message to its handler. The notifications of one origin are
// queued in its inbox and handled in order; each call runs in its own goroutine.
func (m *Mesh) deliver(ctx context.Context, from string, msg message, reply replyFunc) {
	h := m.handler(msg.method)
	switch {
	case h == nil:
		m.peerState(from).counters.unknownMethods.Inc()
		if reply != nil {
			reply(nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + msg.method})
		}
	case reply == nil:
		m.peerState(from).inbox.Push(msg)
	default:
		m.startCall(ctx, from, msg, h, reply)
	}
}

// startCall runs a call's handler in a goroutine, or refuses the call if its origin
// has maxCallsPerPeer calls in progress. Heartbeats are exempt from the bound, so
// that slow calls cannot make a lease or a link expire.
func (m *Mesh) startCall(ctx context.Context, from string, msg message, handler func(context.Context, string, json.RawMessage) (any, error), reply replyFunc) {
	release := func() {}
	if msg.method != heartbeatMethod {
		slots := m.peerState(from).slots
		select {
		case slots <- struct{}{}:
			release = func() { <-slots }
		default:
			m.peerState(from).counters.callsRefused.Inc()
			reply(nil, &jsonrpc2.Error{Code: codeTooManyCalls, Message: "too many calls under way"})
			return
		}
	}
	m.goTracked(func() {
		defer release()
		result, err := handler(ctx, from, msg.params)
		reply(result, err)
	})
}

// runInbox handles the queued notifications of one origin in order until the
// context ends.
func (m *Mesh) runInbox(ctx context.Context, from string, inbox interface {
	Pop(context.Context) (message, error)
}) error {
	for {
		msg, err := inbox.Pop(ctx)
		if err != nil {
			return err
		}
		if h := m.handler(msg.method); h != nil {
			if _, err := h(ctx, from, msg.params); err != nil {
				m.log.Debug("notification handler failed", "step", msg.method, "peer", from, "error", err)
			}
		}
	}
}
