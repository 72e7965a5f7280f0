package mesh

import (
	"context"
	"log/slog"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

// heartbeatMethod is the call whose replies serve as the heartbeat of a link.
const heartbeatMethod = "beat"

// session is one open connection with a peer, in either direction.
type session struct {
	conn        *jsonrpc2.Conn
	stream      *stream
	knownMethod func(method string) bool
	peer        string    // "" on an incoming connection before its handshake
	incarnation string    // of the peer's process
	handshake   handshake // of the peer, on a dialled connection

	mu sync.Mutex
	// callMethods holds the methods of received calls without a reply yet, so that
	// replies are counted by method.
	callMethods map[jsonrpc2.ID]string
}

// newSession starts JSON-RPC on a connection.
func (m *Mesh) newSession(ctx context.Context, conn net.Conn, c *counters, h jsonrpc2.Handler) *session {
	s := &session{
		stream:      newStream(conn, c, m.clock.Now),
		knownMethod: m.knownMethod,
		callMethods: map[jsonrpc2.ID]string{},
	}
	s.conn = jsonrpc2.NewConn(ctx, s.stream, h,
		jsonrpc2.SetLogger(debugLogger{m.log}),
		jsonrpc2.OnSend(s.onSend), jsonrpc2.OnRecv(s.onReceive))
	return s
}

// onSend sets the method under which the next frame is counted, and starts the
// heartbeat timer. It runs under the connection's send lock, directly before
// WriteObject.
func (s *session) onSend(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	if req == nil {
		s.mu.Lock()
		s.stream.writeMethod = s.callMethods[resp.ID]
		delete(s.callMethods, resp.ID)
		s.mu.Unlock()
		return
	}
	s.stream.writeMethod = s.methodLabel(req.Method)
	if req.Method == heartbeatMethod {
		s.stream.heartbeatSince.CompareAndSwap(0, int64(s.stream.now()))
	}
}

// onReceive counts a received message and stores the method of a call for its
// reply. It runs in the read loop, directly after ReadObject.
func (s *session) onReceive(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	method := ""
	if req != nil {
		method = s.methodLabel(req.Method)
	}
	if resp == nil && !req.Notif {
		s.mu.Lock()
		s.callMethods[req.ID] = method
		s.mu.Unlock()
	}
	s.stream.counters.Load().received(method, s.stream.lastFrameSize)
}

// methodLabel returns the method's name as a metric label, or "unknown" for a method
// without a handler, so that a peer cannot create any number of metrics.
func (s *session) methodLabel(method string) string {
	if s.knownMethod(method) {
		return method
	}
	return "unknown"
}

// close closes the connection and waits until its writer has returned.
func (s *session) close() {
	_ = s.conn.Close()
	_ = s.stream.Close()
	<-s.stream.writerDone
}

// debugLogger writes the log lines of the jsonrpc2 library at debug level, because
// the mesh itself counts the same conditions and records the state changes.
type debugLogger struct{ log *slog.Logger }

// Printf implements jsonrpc2.Logger.
func (q debugLogger) Printf(format string, v ...any) {
	q.log.Debug("jsonrpc2", "format", format, "values", v)
}
