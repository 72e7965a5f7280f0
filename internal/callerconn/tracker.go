package callerconn

import (
	"container/list"
	"context"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
)

// Tracker holds the open connections of callers. It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	open      map[*Conn]struct{}
	idle      *list.List       // of *Conn, longest idle first
	sentBytes *metrics.Counter // nil = not counted
	limits    *Limits
	maxOpen   int // connections at which idle ones are closed; 0 = no limit
	// ClosedUnread counts connections that were closed unread because too many were open.
	ClosedUnread atomic.Uint64
}

// Limits are the timeouts of a caller's requests. The functions are called before each read,
// so that a changed configuration takes effect. The time for a body is the server's read timeout
// for that request (fasthttp.RequestConfig), counted from the first byte of the request.
type Limits struct {
	IdleTimeout   func() time.Duration // idle time before a request
	HeaderTimeout func() time.Duration // from the first byte to the end of the header
}

// NewTracker returns a tracker that counts the bytes sent to callers in sentBytes, if that is
// not nil. If limits is nil, the server's own deadlines apply.
func NewTracker(sentBytes *metrics.Counter, limits *Limits) *Tracker {
	return &Tracker{open: map[*Conn]struct{}{}, idle: list.New(), sentBytes: sentBytes, limits: limits}
}

// SetMaxOpen sets the number of open connections at which idle ones are closed, the longest
// idle first. 0 = no limit.
func (t *Tracker) SetMaxOpen(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxOpen = n
}

// nearLimitRatio is the ratio of open connections to the limit above which NearLimit reports
// true. The rest leaves room for one second of new connections at 1,000 a second. A lower ratio
// would make a busy caller reconnect for each request.
const nearLimitRatio = 0.8

// NearLimit reports whether more than 80 % of the limit of connections are open, so that
// responses should ask callers to close theirs.
func (t *Tracker) NearLimit() bool { return t.openRatio() > nearLimitRatio }

// openRatio returns the ratio of open connections to the limit; 0 without a limit.
func (t *Tracker) openRatio() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.maxOpen <= 0 {
		return 0
	}
	return float64(len(t.open)) / float64(t.maxOpen)
}

// idleCloseBatch is the number of idle connections that are closed at once.
const idleCloseBatch = 32

// rejectRatio is the ratio of open connections to the limit at which new ones are closed
// unread. Below it, closing idle connections makes room for new ones. Under overload none is
// idle: without this limit, 4,700 connections took 107 of the 112 MB of an entry instance.
const rejectRatio = 1.3

// admit reports whether a new connection may be opened. At or above the limit it closes idle
// connections first.
func (t *Tracker) admit() bool {
	if t.openRatio() >= 1 {
		t.closeLongestIdle(idleCloseBatch)
	}
	return t.openRatio() < rejectRatio
}

// closeLongestIdle closes up to n connections, the longest idle first.
func (t *Tracker) closeLongestIdle(n int) {
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

// markIdle appends an open connection to the list of idle ones.
func (t *Tracker) markIdle(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, open := t.open[c]; open && c.idleElement == nil {
		c.idleElement = t.idle.PushBack(c)
	}
}

// markBusy removes a connection from the list of idle ones.
func (t *Tracker) markBusy(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeIdle(c)
}

// removeIdle removes a connection from the list of idle ones. t.mu must be locked.
func (t *Tracker) removeIdle(c *Conn) {
	if c.idleElement != nil {
		t.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// noFileDescriptor reports whether an accept failed for lack of a file descriptor.
func noFileDescriptor(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// Listen returns a listener that adds the connections of l to the tracker.
func (t *Tracker) Listen(l net.Listener) *Listener { return &Listener{Listener: l, tracker: t} }

// add registers a new connection, which is idle at first.
func (t *Tracker) add(nc net.Conn) *Conn {
	c := &Conn{Conn: nc, tracker: t, stateSince: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[c] = struct{}{}
	c.idleElement = t.idle.PushBack(c)
	return c
}

func (t *Tracker) remove(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
	t.removeIdle(c)
}

func (t *Tracker) countSent(n int) {
	if t.sentBytes != nil {
		t.sentBytes.Add(n)
	}
}

func (t *Tracker) connections() []*Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*Conn, 0, len(t.open))
	for c := range t.open {
		out = append(out, c)
	}
	return out
}

// Count returns the number of open connections and of those that are serving a request.
func (t *Tracker) Count() (open, busy int) {
	all := t.connections()
	for _, c := range all {
		if c.busy() {
			busy++
		}
	}
	return len(all), busy
}

// CloseIdle closes the connections that have been idle for at least 250 ms and have no unread
// bytes.
func (t *Tracker) CloseIdle() {
	for _, c := range t.connections() {
		c.closeIfIdle()
	}
}

// CloseAll closes all connections, also those with a request.
func (t *Tracker) CloseAll() {
	for _, c := range t.connections() {
		c.Close()
	}
}

// epoch is the reference of stored times. They use the monotonic clock, because the time of
// day may jump.
var epoch = time.Now()

// Listener accepts connections and adds them to its Tracker.
type Listener struct {
	net.Listener
	tracker    *Tracker
	lastAccept atomic.Int64 // time of the last accepted connection; monotonic nanoseconds since epoch
	accepted   int          // connections since the last yield; owned by the goroutine of Accept
}

// acceptsPerYield is the number of connections that are accepted before all other ready
// goroutines run. Without that limit a flood of connections is accepted in one turn, and the
// requests under way wait until all of their requests have been answered.
const acceptsPerYield = 16

// acceptRetryDelay is the delay after an accept that failed for lack of a file descriptor.
const acceptRetryDelay = 20 * time.Millisecond

// Accept implements net.Listener. While too many connections are open it closes new ones
// unread. Since no request was read, their callers may safely retry at another instance.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		if l.accepted++; l.accepted >= acceptsPerYield {
			l.accepted = 0
			runtime.Gosched()
		}
		nc, err := l.accept()
		if err != nil {
			return nil, err
		}
		l.lastAccept.Store(int64(time.Since(epoch)))
		if l.tracker.admit() {
			return l.tracker.add(nc), nil
		}
		l.tracker.ClosedUnread.Add(1)
		_ = nc.Close()
	}
}

// accept accepts the next connection. For lack of a file descriptor it closes idle
// connections and retries, because the server would stop on the error.
func (l *Listener) accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	for noFileDescriptor(err) {
		l.tracker.closeLongestIdle(idleCloseBatch)
		time.Sleep(acceptRetryDelay)
		nc, err = l.Listener.Accept()
	}
	return nc, err
}

// Serve runs a server on the listener until the context ends, which closes the listener and
// all connections. It returns an error if the server ends earlier, unless stopping reports
// that a planned stop has closed the listener; then it waits for the context.
func (l *Listener) Serve(ctx context.Context, serve func(net.Listener) error, stopping func() bool) error {
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
		l.tracker.CloseAll()
	})
	defer stop()
	err := serve(l)
	if ctx.Err() != nil || stopping() {
		<-ctx.Done()
		return ctx.Err()
	}
	return errors.WithMessage(err, "serve callers")
}

// NoRecentAccept reports whether no connection was accepted in the last 250 ms. It should be
// checked before closing the listener: connections that the kernel has accepted but the server
// has not are reset then.
func (l *Listener) NoRecentAccept() bool {
	return time.Since(epoch)-time.Duration(l.lastAccept.Load()) >= minIdleTime
}
