package mesh

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"nutmegrouter/internal/kernel"
	"nutmegrouter/internal/logqueue"
)

// Timing of a link.
const (
	connectTimeout        = 400 * time.Millisecond  // a host without power never responds to a connect
	handshakeReplyTimeout = time.Second             // a busy instance responds slowly
	silenceTimeout        = 1500 * time.Millisecond // without a received byte while a heartbeat is unanswered
	minHeartbeatWait      = time.Second             // a link is silent only if a heartbeat is unanswered for this long
	silenceCheckInterval  = 200 * time.Millisecond  // a silent link is detected within 1.7 s
	minBackoff            = 50 * time.Millisecond
	maxBackoff            = time.Second // short, because a healed partition must reconnect within a lease period
	backoffGrowth         = 1.5         // a peer that starts late is reached within a further third of its delay
	// maxCheckGap is the longest gap between two silence checks. After a longer one this
	// process was suspended, so the link does not count as silent.
	maxCheckGap = 500 * time.Millisecond
)

// handshakeMethod is the first call on a connection.
const handshakeMethod = "hello"

// handshake is the content of the first call on a connection and of its reply:
// each end sends its name, incarnation and role. To is the expected name
// of the other end; it is "" in a reply, and with a link manager may be "" in the
// call.
type handshake struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"boot"`
	To          string `json:"to,omitempty"`
	DataCentre  string `json:"dc,omitempty"`
	Control     bool   `json:"control,omitempty"`
}

// link is the outgoing link to one peer.
type link struct {
	mesh     *Mesh
	peer     string
	address  string
	counters *counters
	session  atomic.Pointer[session] // nil while the link is down
	redial   chan struct{}           // ends the backoff before the next dial
	// cancelDial cancels the dial in progress; nil if there is none.
	cancelDial atomic.Pointer[context.CancelFunc]
}

// redialNow dials the peer at once, because the peer has proved that it is up. It
// also cancels a dial in progress: one that started before the peer was up would
// wait for connectTimeout.
func (l *link) redialNow() {
	if l.openSession() != nil {
		return
	}
	kernel.Signal(l.redial)
	if cancel := l.cancelDial.Load(); cancel != nil {
		(*cancel)()
	}
}

// clearRedial drops a redial signal from before the link was lost.
func (l *link) clearRedial() {
	select {
	case <-l.redial:
	default:
	}
}

func newLink(m *Mesh, peer, address string, c *counters) *link {
	return &link{mesh: m, peer: peer, address: address, counters: c, redial: make(chan struct{}, 1)}
}

// openSession returns the open session, or nil while the link is down.
func (l *link) openSession() *session { return l.session.Load() }

// run keeps the link up until the context ends: it dials, monitors the session
// and redials with backoff.
func (l *link) run(ctx context.Context) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		s, err := l.connect(ctx)
		if err == nil {
			backoff = minBackoff
			l.serveSession(ctx, s)
			l.clearRedial()
		} else {
			l.mesh.log.Debug("connect failed", "step", "dial", "peer", l.peer, "error", err)
		}
		wait := backoff/2 + rand.N(backoff/2)
		backoff = min(time.Duration(backoffGrowth*float64(backoff)), maxBackoff)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		case <-l.redial:
			backoff = minBackoff
		}
	}
	return ctx.Err()
}

func (l *link) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	l.cancelDial.Store(&cancel)
	defer l.cancelDial.Store(nil)
	return l.mesh.dialer(ctx, "tcp", l.address)
}

// connect dials the peer and performs the handshake.
func (l *link) connect(ctx context.Context) (*session, error) {
	conn, err := l.dial(ctx)
	if err != nil {
		return nil, errors.WithMessage(err, "dial "+l.peer)
	}
	s, handler := l.startSession(ctx, conn)
	replyCtx, cancel := context.WithTimeout(ctx, handshakeReplyTimeout)
	defer cancel()
	var reply handshake
	err = s.conn.Call(replyCtx, handshakeMethod, l.mesh.handshake(l.peer), &reply)
	if err == nil && reply.Instance != l.peer && l.peer != "" {
		err = errors.Errorf("peer identifies itself as %q", reply.Instance)
	}
	if err != nil {
		s.close()
		return nil, errors.WithMessage(err, "handshake with "+l.peer)
	}
	s.peer, s.incarnation, s.handshake = reply.Instance, reply.Incarnation, reply
	if handler != nil {
		handler.peer = reply.Instance
		s.stream.counters.Store(l.mesh.peerState(reply.Instance).counters)
		close(handler.sessionSet)
	}
	return s, nil
}

// startSession starts JSON-RPC on a dialled connection. With a link manager both
// ends send their requests over it, because the other end may not know this
// instance's address.
func (l *link) startSession(ctx context.Context, conn net.Conn) (*session, *requestHandler) {
	if l.mesh.linkManager == nil {
		return l.mesh.newSession(ctx, conn, l.counters, requestRefuser{}), nil
	}
	handler := &requestHandler{mesh: l.mesh, ctx: ctx, sessionSet: make(chan struct{})}
	s := l.mesh.newSession(ctx, conn, l.counters, handler)
	handler.session = s
	return s, handler
}

// serveSession makes the session available to senders until it ends or the link
// is silent, and reports both changes.
func (l *link) serveSession(ctx context.Context, s *session) {
	l.session.Store(s)
	l.recordStep("up", s, "")
	l.mesh.notifyLinkChange(s.handshake, true)
	reason := l.awaitEnd(ctx, s)
	l.session.Store(nil)
	s.close()
	l.recordStep("down", s, reason)
	l.mesh.notifyLinkChange(s.handshake, false)
}

// awaitEnd waits for the end of a session and returns the reason: "stop" (the
// context ended), "closed" (the connection was closed) or "silent" (the heartbeat
// timed out).
func (l *link) awaitEnd(ctx context.Context, s *session) string {
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	lastCheck := l.mesh.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return "stop"
		case <-s.conn.DisconnectNotify():
			return "closed"
		case <-ticker.C:
		}
		now := l.mesh.clock.Now()
		if now-lastCheck < maxCheckGap && s.stream.silent(now) {
			l.counters.silentLinks.Inc()
			return "silent"
		}
		lastCheck = now
	}
}

// silent reports whether a heartbeat is unanswered and no byte was received for
// silenceTimeout.
func (s *stream) silent(now time.Duration) bool {
	waitingSince := time.Duration(s.heartbeatSince.Load())
	return waitingSince != 0 && now-waitingSince >= minHeartbeatWait && now-time.Duration(s.lastReceived.Load()) >= silenceTimeout
}

func (l *link) recordStep(step string, s *session, reason string) {
	l.mesh.events.Record(kernel.Event{Kind: "link", Step: step, Peer: s.peer, Detail: reason})
	logqueue.Notice(l.mesh.log, "link "+step, "step", "link", "peer", s.peer, "address", l.address, "boot", s.incarnation, "why", reason)
}

// requestRefuser rejects requests on outgoing links: a peer sends its requests
// over the link that it dialled itself.
type requestRefuser struct{}

// Handle implements jsonrpc2.Handler.
func (requestRefuser) Handle(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !req.Notif {
		_ = c.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{
			Code: jsonrpc2.CodeInvalidRequest, Message: "requests go over the sender's own link"})
	}
}
