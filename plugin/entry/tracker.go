package entry

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// tracker knows the open connections of callers.
type tracker struct {
	mu    sync.Mutex
	open  map[*callerConn]struct{}
	bytes *metrics.Counter
}

func newTracker() *tracker { return &tracker{open: map[*callerConn]struct{}{}} }

func (t *tracker) add(nc net.Conn) *callerConn {
	c := &callerConn{Conn: nc, conns: t, since: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[c] = struct{}{}
	return c
}

func (t *tracker) remove(c *callerConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
}

func (t *tracker) sent(n int) {
	if t.bytes != nil {
		t.bytes.Add(n)
	}
}

func (t *tracker) all() []*callerConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*callerConn, 0, len(t.open))
	for c := range t.open {
		out = append(out, c)
	}
	return out
}

// count returns the open connections and those with a request under way.
func (t *tracker) count() (open, busy int) {
	all := t.all()
	for _, c := range all {
		if c.busy() {
			busy++
		}
	}
	return len(all), busy
}

func (t *tracker) closeIdle() {
	for _, c := range t.all() {
		c.closeIfIdle()
	}
}

func (t *tracker) closeAll() {
	for _, c := range t.all() {
		c.Close()
	}
}

// listener hands out connections that are tracked.
type listener struct {
	net.Listener
	conns *tracker
	last  atomic.Int64 // time of the newest connection, in Unix nanoseconds
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.last.Store(time.Now().UnixNano())
	return l.conns.add(nc), nil
}
