package mesh

import (
	"context"
	"log/slog"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

// beatMethod is the call whose replies serve as the heartbeat of a link.
const beatMethod = "beat"

// session is one open connection with a peer, in either direction.
type session struct {
	conn   *jsonrpc2.Conn
	stream *stream
	known  func(method string) bool
	peer   string // "" on an incoming connection before its hello
	boot   string // boot identity of the peer
	hello  hello  // of the peer, on a dialled connection

	mu      sync.Mutex
	methods map[jsonrpc2.ID]string // methods of calls under way, to count replies by method
}

// newSession starts JSON-RPC on a connection.
func (m *Mesh) newSession(ctx context.Context, conn net.Conn, count *counters, h jsonrpc2.Handler) *session {
	s := &session{
		stream:  newStream(conn, count, m.clock.Now),
		known:   m.known,
		methods: map[jsonrpc2.ID]string{},
	}
	s.conn = jsonrpc2.NewConn(ctx, s.stream, h,
		jsonrpc2.SetLogger(quietLogger{m.log}),
		jsonrpc2.OnSend(s.onSend), jsonrpc2.OnRecv(s.onReceive))
	return s
}

// onSend runs under the connection's send lock, directly before WriteObject.
func (s *session) onSend(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	if req == nil {
		s.mu.Lock()
		s.stream.method = s.methods[resp.ID]
		delete(s.methods, resp.ID)
		s.mu.Unlock()
		return
	}
	s.stream.method = s.label(req.Method)
	if req.Method == beatMethod {
		s.stream.firstBeat.CompareAndSwap(0, int64(s.stream.now()))
	}
}

// onReceive runs in the read loop, directly after ReadObject.
func (s *session) onReceive(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	method := ""
	if req != nil {
		method = s.label(req.Method)
	}
	if resp == nil && !req.Notif {
		s.mu.Lock()
		s.methods[req.ID] = method
		s.mu.Unlock()
	}
	s.stream.count.Load().received(method, s.stream.received)
}

// label keeps the number of counters bounded whatever a peer sends.
func (s *session) label(method string) string {
	if s.known(method) {
		return method
	}
	return "unknown"
}

// close ends the session and waits for its writer.
func (s *session) close() {
	_ = s.conn.Close()
	_ = s.stream.Close()
	<-s.stream.ended
}

// quietLogger keeps the library's lines at debug level: the mesh counts the
// same conditions and records the state changes.
type quietLogger struct{ log *slog.Logger }

func (q quietLogger) Printf(format string, v ...any) {
	q.log.Debug("jsonrpc2", "format", format, "values", v)
}
