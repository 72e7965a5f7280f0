package mesh

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Bounds on the work that one peer can cause.
const (
	inboxSize    = 4096 // notifications that wait for their handlers
	callsPerPeer = 256  // calls under way, beats excepted
	helloLimit   = 2 * time.Second
)

// Codes of JSON-RPC errors of the mesh.
const (
	codeHandler = -32000 // the handler returned an error
	codeNoPath  = -32001 // the relaying instance has no link to the destination
	codeBusy    = -32002 // too many calls under way
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
			time.Sleep(backoffMin) // out of file descriptors; retrying at once would spin
			continue
		}
		m.run(func() { m.serve(ctx, conn) })
	}
}

// serve runs one incoming connection. A connection without a hello is closed.
func (m *Mesh) serve(ctx context.Context, conn net.Conn) {
	in := &inbound{mesh: m, ctx: ctx, greeted: make(chan struct{}), ready: make(chan struct{})}
	s := m.newSession(ctx, conn, m.origin("").count, in)
	in.session = s
	close(in.ready)
	defer s.close()
	select {
	case <-in.greeted:
		<-s.conn.DisconnectNotify()
		m.forget(s)
	case <-time.After(helloLimit):
	case <-s.conn.DisconnectNotify():
	}
}

// inbound handles the requests of one incoming connection. Its methods run in
// the connection's read loop and never block.
type inbound struct {
	mesh    *Mesh
	ctx     context.Context
	session *session
	ready   chan struct{} // closed once session is set
	greeted chan struct{}
	peer    string
}

// Handle implements jsonrpc2.Handler.
func (in *inbound) Handle(_ context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-in.ready
	reply := replier(c, req)
	if in.peer == "" {
		in.greet(req, reply)
		return
	}
	msg := message{method: req.Method}
	if req.Params != nil {
		msg.params = *req.Params
	}
	if req.Method == relayMethod {
		in.mesh.handleRelay(in.ctx, msg, reply)
		return
	}
	in.mesh.deliver(in.ctx, in.peer, msg, reply)
}

// greet checks the hello. Anything else closes the connection.
func (in *inbound) greet(req *jsonrpc2.Request, reply replyFunc) {
	h, err := in.mesh.checkHello(req)
	if err != nil {
		in.mesh.origin("").count.malformed.Inc()
		in.mesh.log.Warn("hello refused", "step", "hello", "peer", h.Instance, "error", err)
		go func() { _ = in.session.conn.Close() }()
		return
	}
	in.peer, in.session.peer, in.session.boot = h.Instance, h.Instance, h.Boot
	in.session.stream.count.Store(in.mesh.origin(h.Instance).count)
	in.mesh.adopt(h.Instance, in.session)
	close(in.greeted)
	if reply != nil {
		reply(in.mesh.hello(""), nil)
	}
	in.mesh.linkChanged(h, true)
	if l := in.mesh.linkTo(h.Instance); l != nil {
		l.retryNow()
	}
}

func (m *Mesh) checkHello(req *jsonrpc2.Request) (hello, error) {
	var h hello
	if req.Method != helloMethod || req.Params == nil {
		return h, errors.Errorf("first message is %q", req.Method)
	}
	if err := json.Unmarshal(*req.Params, &h); err != nil {
		return h, err
	}
	if h.To != m.self && (m.roster == nil || h.To != "") {
		return h, errors.Errorf("meant for %q", h.To)
	}
	if m.roster == nil && m.links[h.Instance] == nil {
		return h, errors.New("not a peer")
	}
	return h, nil
}

// adopt makes s the incoming session of the peer and closes an older one: a
// peer opens a second connection only after it has given up the first.
func (m *Mesh) adopt(peer string, s *session) {
	m.mu.Lock()
	old := m.incoming[peer]
	m.incoming[peer] = s
	m.mu.Unlock()
	if old != nil {
		go func() { _ = old.conn.Close() }()
	}
}

func (m *Mesh) forget(s *session) {
	m.mu.Lock()
	last := m.incoming[s.peer] == s
	if last {
		delete(m.incoming, s.peer)
	}
	m.mu.Unlock()
	if last {
		m.linkChanged(hello{Instance: s.peer, Boot: s.boot}, false)
	}
}

// replyFunc sends the answer to a call; nil for a notification.
type replyFunc func(result any, err error)

func replier(c *jsonrpc2.Conn, req *jsonrpc2.Request) replyFunc {
	if req.Notif {
		return nil
	}
	return func(result any, err error) {
		if err != nil {
			_ = c.ReplyWithError(context.Background(), req.ID, asError(err))
			return
		}
		_ = c.Reply(context.Background(), req.ID, result)
	}
}

func asError(err error) *jsonrpc2.Error {
	var e *jsonrpc2.Error
	if errors.As(err, &e) {
		return e
	}
	return &jsonrpc2.Error{Code: codeHandler, Message: err.Error()}
}

// deliver hands a message to its handler: notifications of one origin in order
// through its inbox, calls each in their own goroutine.
func (m *Mesh) deliver(ctx context.Context, from string, msg message, reply replyFunc) {
	h := m.handler(msg.method)
	switch {
	case h == nil:
		m.origin(from).count.unknown.Inc()
		if reply != nil {
			reply(nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + msg.method})
		}
	case reply == nil:
		m.origin(from).inbox.Push(msg)
	default:
		m.deliverCall(ctx, from, msg, h, reply)
	}
}

// deliverCall starts a call's handler. Beats are exempt from the bound, so that
// slow calls cannot end a lease or a link.
func (m *Mesh) deliverCall(ctx context.Context, from string, msg message, h func(context.Context, string, json.RawMessage) (any, error), reply replyFunc) {
	release := func() {}
	if msg.method != beatMethod {
		slots := m.origin(from).slots
		select {
		case slots <- struct{}{}:
			release = func() { <-slots }
		default:
			m.origin(from).count.busy.Inc()
			reply(nil, &jsonrpc2.Error{Code: codeBusy, Message: "too many calls under way"})
			return
		}
	}
	m.run(func() {
		defer release()
		result, err := h(ctx, from, msg.params)
		reply(result, err)
	})
}

// drainInbox runs the handlers of one origin's notifications in order.
func (m *Mesh) drainInbox(ctx context.Context, from string, in interface {
	Pop(context.Context) (message, error)
}) error {
	for {
		msg, err := in.Pop(ctx)
		if err != nil {
			return err
		}
		if h := m.handler(msg.method); h != nil {
			if _, err := h(ctx, from, msg.params); err != nil {
				m.log.Debug("notification failed", "step", msg.method, "peer", from, "error", err)
			}
		}
	}
}
