package callerconn

import (
	"container/list"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
)

// Tracker knows the open connections of callers.
type Tracker struct {
	mu     sync.Mutex
	open   map[*Conn]struct{}
	idle   *list.List // of *Conn, longest idle first
	bytes  *metrics.Counter
	limits *Limits
	most   int // connections above which idle ones are closed; 0 = no bound
	// TurnedAway counts connections that were closed unread, because too many were open.
	TurnedAway atomic.Uint64
}

// Limits bound how long a caller may take. The functions are called before each
// read, so that they may follow a configuration.
type Limits struct {
	Idle  func() time.Duration // between two requests of a connection
	Head  func() time.Duration // of the head of a request
	Whole func() time.Duration // of a whole request
}

// NewTracker returns a tracker that counts the bytes sent to callers, if bytes is
// not nil. Without limits the server's own deadlines hold.
func NewTracker(bytes *metrics.Counter, limits *Limits) *Tracker {
	return &Tracker{open: map[*Conn]struct{}{}, idle: list.New(), bytes: bytes, limits: limits}
}

// SetMost sets the number of connections above which idle ones are closed, the
// longest idle first. 0 = no bound.
func (t *Tracker) SetMost(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.most = n
}

// crowdedPart of the connections that may be open leaves room for a second of new
// ones at 1,000 a second; a lower part makes a busy caller reconnect for each request.
const crowdedPart = 0.8

// Crowded reports whether crowdedPart of the connections that may be open are, so that
// callers should close theirs after an answer.
func (t *Tracker) Crowded() bool { return t.taken() > crowdedPart }

// taken returns the open connections as a multiple of the bound; 0 without one.
func (t *Tracker) taken() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.most <= 0 {
		return 0
	}
	return float64(len(t.open)) / float64(t.most)
}

// shedAtOnce is the number of idle connections closed together.
const shedAtOnce = 32

// fullFactor is the multiple of the bound at which further connections are closed
// unread. Between the bound and it idle ones make room; in a flood none is idle, and
// 4,700 connections took 107 of 112 MB on an entry of the grown Quito site.
const fullFactor = 1.3

// limit closes idle connections beyond the bound. It reports false if no further
// connection may be open.
func (t *Tracker) limit() bool {
	if t.taken() >= 1 {
		t.shed(shedAtOnce)
	}
	return t.taken() < fullFactor
}

// shed closes up to n connections, those that are idle for longest.
func (t *Tracker) shed(n int) {
	t.mu.Lock()
	var oldest []*Conn
	for e := t.idle.Front(); e != nil && len(oldest) < n; e = e.Next() {
		oldest = append(oldest, e.Value.(*Conn))
	}
	t.mu.Unlock()
	for _, c := range oldest {
		c.closeIfIdle()
	}
}

// nowIdle puts a connection behind those that are idle for longer, nowBusy takes it
// out.
func (t *Tracker) nowIdle(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, open := t.open[c]; open && c.place == nil {
		c.place = t.idle.PushBack(c)
	}
}

func (t *Tracker) nowBusy(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaveIdle(c)
}

// leaveIdle takes a connection out of the idle ones. The lock must be held.
func (t *Tracker) leaveIdle(c *Conn) {
	if c.place != nil {
		t.idle.Remove(c.place)
		c.place = nil
	}
}

func exhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// Listen returns a listener whose connections are tracked.
func (t *Tracker) Listen(l net.Listener) *Listener { return &Listener{Listener: l, conns: t} }

func (t *Tracker) add(nc net.Conn) *Conn {
	c := &Conn{Conn: nc, conns: t, since: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[c] = struct{}{}
	c.place = t.idle.PushBack(c)
	return c
}

func (t *Tracker) remove(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
	t.leaveIdle(c)
}

func (t *Tracker) sent(n int) {
	if t.bytes != nil {
		t.bytes.Add(n)
	}
}

func (t *Tracker) all() []*Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*Conn, 0, len(t.open))
	for c := range t.open {
		out = append(out, c)
	}
	return out
}

// Count returns the open connections and those with a request under way.
func (t *Tracker) Count() (open, busy int) {
	all := t.all()
	for _, c := range all {
		if c.busy() {
			busy++
		}
	}
	return len(all), busy
}

// CloseIdle closes the connections on which no request has begun for a while.
func (t *Tracker) CloseIdle() {
	for _, c := range t.all() {
		c.closeIfIdle()
	}
}

// CloseAll closes all connections.
func (t *Tracker) CloseAll() {
	for _, c := range t.all() {
		c.Close()
	}
}

// epoch keeps times on the monotonic clock, because the time of day may jump.
var epoch = time.Now()

// Listener hands out connections that are tracked.
type Listener struct {
	net.Listener
	conns *Tracker
	last  atomic.Int64 // time of the newest connection on the monotonic clock, since epoch
}

// acceptPause follows an accept without a free file descriptor.
const acceptPause = 20 * time.Millisecond

// Accept implements net.Listener. While too many connections are open it closes new
// ones unread: their callers may send anything again, and reach another instance.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.accept()
		if err != nil {
			return nil, err
		}
		l.last.Store(int64(time.Since(epoch)))
		if l.conns.limit() {
			return l.conns.add(nc), nil
		}
		l.conns.TurnedAway.Add(1)
		_ = nc.Close()
	}
}

// accept takes the next connection. Without a free file descriptor it closes idle
// connections and tries again: the server would end otherwise.
func (l *Listener) accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	for exhausted(err) {
		l.conns.shed(shedAtOnce)
		time.Sleep(acceptPause)
		nc, err = l.Listener.Accept()
	}
	return nc, err
}

// Serve runs a server on the listener. The end of the context closes the listener and
// all connections. An end of the server before that is an error, unless stopping
// reports that a planned stop has closed the listener.
func (l *Listener) Serve(ctx context.Context, serve func(net.Listener) error, stopping func() bool) error {
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
		l.conns.CloseAll()
	})
	defer stop()
	err := serve(l)
	if ctx.Err() != nil || stopping() {
		<-ctx.Done()
		return ctx.Err()
	}
	return errors.WithMessage(err, "serve callers")
}

// Quiet reports whether no connection has arrived for a while. One that the
// kernel has accepted but the server has not is reset when the listener closes.
func (l *Listener) Quiet() bool { return time.Since(epoch)-time.Duration(l.last.Load()) >= quietTime }
