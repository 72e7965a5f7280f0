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
	connectLimit  = 400 * time.Millisecond  // an instance without power does not answer at all
	answerLimit   = time.Second             // of a hello: a busy instance answers late
	silenceLimit  = 1500 * time.Millisecond // without a received byte while a beat waits
	beatWait      = time.Second             // a beat must have waited this long before its link counts as silent
	silenceCheck  = 200 * time.Millisecond  // silence is noticed within 1.7 s
	backoffMin    = 50 * time.Millisecond
	backoffMax    = time.Second            // short, because a healed partition must rejoin within a lease time
	backoffGrowth = 1.5                    // a peer that starts late is found within a third of that time
	freezeAllowed = 500 * time.Millisecond // a checker that ran later than this was itself frozen
)

const helloMethod = "hello"

// hello is the first call on a connection; both ends name themselves. To is ""
// if only the address of the other end is known.
type hello struct {
	Instance   string `json:"instance"`
	Boot       string `json:"boot"`
	To         string `json:"to,omitempty"`
	DataCentre string `json:"dc,omitempty"`
	Control    bool   `json:"control,omitempty"`
}

// link is the outgoing link to one peer.
type link struct {
	mesh    *Mesh
	peer    string
	address string
	count   *counters
	session atomic.Pointer[session] // nil while the link is down
	retry   chan struct{}           // ends the pause before the next attempt
	// abort ends the connect that waits for an answer; nil if there is none.
	abort atomic.Pointer[context.CancelFunc]
}

// retryNow begins the next attempt: the peer is there. A connect that was begun
// before it was would wait for its limit.
func (l *link) retryNow() {
	if l.up() != nil {
		return
	}
	kernel.Signal(l.retry)
	if abort := l.abort.Load(); abort != nil {
		(*abort)()
	}
}

// forgetRetry drops a wish for an attempt that was made before the link was lost.
func (l *link) forgetRetry() {
	select {
	case <-l.retry:
	default:
	}
}

func newLink(m *Mesh, peer, address string, count *counters) *link {
	return &link{mesh: m, peer: peer, address: address, count: count, retry: make(chan struct{}, 1)}
}

// up returns the open session or nil.
func (l *link) up() *session { return l.session.Load() }

// run dials, watches and redials until the context ends.
func (l *link) run(ctx context.Context) error {
	backoff := backoffMin
	for ctx.Err() == nil {
		s, err := l.connect(ctx)
		if err == nil {
			backoff = backoffMin
			l.serve(ctx, s)
			l.forgetRetry()
		} else {
			l.mesh.log.Debug("connect failed", "step", "dial", "peer", l.peer, "error", err)
		}
		wait := backoff/2 + rand.N(backoff/2)
		backoff = min(time.Duration(backoffGrowth*float64(backoff)), backoffMax)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		case <-l.retry:
			backoff = backoffMin
		}
	}
	return ctx.Err()
}

func (l *link) dial(ctx context.Context) (net.Conn, error) {
	ctx, abort := context.WithTimeout(ctx, connectLimit)
	defer abort()
	l.abort.Store(&abort)
	defer l.abort.Store(nil)
	return l.mesh.dialer(ctx, "tcp", l.address)
}

// connect dials the peer and exchanges hellos.
func (l *link) connect(ctx context.Context) (*session, error) {
	conn, err := l.dial(ctx)
	if err != nil {
		return nil, errors.WithMessage(err, "dial "+l.peer)
	}
	s, answers := l.open(ctx, conn)
	limited, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	var reply hello
	err = s.conn.Call(limited, helloMethod, l.mesh.hello(l.peer), &reply)
	if err == nil && reply.Instance != l.peer && l.peer != "" {
		err = errors.Errorf("answered as %q", reply.Instance)
	}
	if err != nil {
		s.close()
		return nil, errors.WithMessage(err, "hello "+l.peer)
	}
	s.peer, s.boot, s.hello = reply.Instance, reply.Boot, reply
	if answers != nil {
		answers.peer = reply.Instance
		s.stream.count.Store(l.mesh.origin(reply.Instance).count)
		close(answers.ready)
	}
	return s, nil
}

// open starts JSON-RPC on a dialled connection. With a roster both ends send
// their requests over it, because the other end may not know this one's address.
func (l *link) open(ctx context.Context, conn net.Conn) (*session, *inbound) {
	if l.mesh.roster == nil {
		return l.mesh.newSession(ctx, conn, l.count, refuser{}), nil
	}
	in := &inbound{mesh: l.mesh, ctx: ctx, ready: make(chan struct{})}
	s := l.mesh.newSession(ctx, conn, l.count, in)
	in.session = s
	return s, in
}

// serve publishes the session until it ends or goes silent.
func (l *link) serve(ctx context.Context, s *session) {
	l.session.Store(s)
	l.record("up", s, "")
	l.mesh.linkChanged(s.hello, true)
	why := l.watch(ctx, s)
	l.session.Store(nil)
	s.close()
	l.record("down", s, why)
	l.mesh.linkChanged(s.hello, false)
}

// watch returns why the session ended.
func (l *link) watch(ctx context.Context, s *session) string {
	tick := time.NewTicker(silenceCheck)
	defer tick.Stop()
	last := l.mesh.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return "stop"
		case <-s.conn.DisconnectNotify():
			return "closed"
		case <-tick.C:
		}
		now := l.mesh.clock.Now()
		if now-last < freezeAllowed && s.stream.silent(now) {
			l.count.silent.Inc()
			return "silent"
		}
		last = now
	}
}

// silent reports whether a beat waits and no byte came for the silence limit.
func (s *stream) silent(now time.Duration) bool {
	beat := time.Duration(s.firstBeat.Load())
	return beat != 0 && now-beat >= beatWait && now-time.Duration(s.heard.Load()) >= silenceLimit
}

func (l *link) record(step string, s *session, why string) {
	l.mesh.events.Record(kernel.Event{Kind: "link", Step: step, Peer: s.peer, Detail: why})
	logqueue.Notice(l.mesh.log, "link "+step, "step", "link", "peer", s.peer, "address", l.address, "boot", s.boot, "why", why)
}

// refuser answers requests on outgoing links: peers send theirs on their own.
type refuser struct{}

// Handle implements jsonrpc2.Handler.
func (refuser) Handle(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !req.Notif {
		_ = c.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{
			Code: jsonrpc2.CodeInvalidRequest, Message: "requests go over the sender's own link"})
	}
}
