package dispatch

import (
	"context"
	"io"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/responsehead"
	"nutmegrouter/internal/targetconn"
)

// exchange is one HTTP request and its response on one connection.
type exchange struct {
	d               *Dispatcher
	conn            *targetconn.Conn
	resp            *fasthttp.Response
	body            io.Reader   // nil if the response has no body
	stopCancelWatch func() bool // returns false if the cancelled context closed the connection
	// requestIncomplete reports that the request was not written to its end.
	requestIncomplete bool
	// requestID is the X-Request-Id of the request; "" = none. idEchoed reports that the
	// response has the same one.
	requestID string
	idEchoed  bool
}

// headerRequestID is the header with the id of a request. A response that repeats the id
// can be matched with its request.
const headerRequestID = "X-Request-Id"

// timeLimits are the timeout and the deadlines of an exchange.
type timeLimits struct {
	ioTimeout      time.Duration // for each read and write
	headerDeadline time.Time     // for the response header
	deadline       time.Time     // for the whole exchange
}

// targetRequest is a request to send to a target.
type targetRequest struct {
	method, path, host string
	header             map[string]string
	extraHeaders       [][2]string
	body               []byte
}

// open sends a request and reads the response header. The caller must close the
// exchange. check runs immediately before the first byte is written; its error stops
// the exchange. With fresh, or without a request id, the connection is a new one.
func (d *Dispatcher) open(ctx context.Context, m *targetRequest, fresh bool, limits timeLimits, check func() error) (*exchange, *fault) {
	id := m.header[headerRequestID]
	conn, err := d.connect(ctx, m.host, fresh || id == "")
	if err != nil {
		return nil, &fault{step: "connect", cause: err}
	}
	conn.StartRequest(limits.ioTimeout, limits.headerDeadline, check)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	x := &exchange{d: d, conn: conn, stopCancelWatch: stop, requestID: id, resp: fasthttp.AcquireResponse()}
	x.resp.StreamBody = true
	x.resp.SkipBody = m.method == fasthttp.MethodHead
	if step, err := x.roundTrip(m); err != nil {
		return nil, x.fail(step, err)
	}
	x.body = x.resp.BodyStream()
	conn.SetRequestDeadline(limits.deadline)
	return x, nil
}

// roundTrip sends the request and reads the response header. On an error it returns
// the step that failed. On a reused connection a response that does not echo the
// request id is an error, because it may be a duplicate of an earlier response.
func (x *exchange) roundTrip(m *targetRequest) (step string, err error) {
	if err := x.send(m); err != nil {
		refused, headErr := x.readEarlyRefusal()
		switch {
		case refused:
			return "", nil
		case errors.Is(headErr, responsehead.ErrMalformed):
			return "head", headErr
		}
		return "send", err
	}
	if err := responsehead.Read(x.resp, x.conn.R); err != nil {
		return "head", err
	}
	x.idEchoed = x.requestID != "" && string(x.resp.Header.Peek(headerRequestID)) == x.requestID
	if x.conn.Reused && !x.idEchoed {
		return "head", targetconn.ErrNoRequestID
	}
	return "", nil
}

// readEarlyRefusal reads the response of a target that refused a request and closed
// the connection before it had read the whole request. It reports whether there is
// one with a status of 400 or higher, or why its header could not be read; other
// statuses are not accepted.
func (x *exchange) readEarlyRefusal() (refused bool, err error) {
	c := x.conn
	if c.Sent == 0 || (!errors.Is(c.Failure(), syscall.EPIPE) && !errors.Is(c.Failure(), syscall.ECONNRESET)) {
		return false, nil
	}
	x.requestIncomplete = true
	if err := responsehead.Read(x.resp, c.R); err != nil {
		return false, err
	}
	return x.resp.StatusCode() >= fasthttp.StatusBadRequest, nil
}

// connect returns an idle connection to the host, or a new one if there is none or
// fresh is set.
func (d *Dispatcher) connect(ctx context.Context, host string, fresh bool) (*targetconn.Conn, error) {
	if !fresh {
		if c := d.conns.Take(host); c != nil {
			d.stats.reusedConnections.Inc()
			return c, nil
		}
	}
	d.stats.newConnections.Inc()
	return d.conns.Dial(ctx, host)
}

// send writes the request in fasthttp's wire format.
func (x *exchange) send(m *targetRequest) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	h := &req.Header
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	h.SetMethod(m.method)
	h.SetRequestURI(m.path)
	h.SetHost(m.host)
	for k, v := range m.header {
		h.Set(k, v)
	}
	for _, kv := range m.extraHeaders {
		h.Set(kv[0], kv[1])
	}
	req.SetBodyRaw(m.body)
	if err := req.Write(x.conn.W); err != nil {
		return err
	}
	return x.conn.W.Flush()
}

// fail closes an exchange that has no response header and returns its fault. The
// first error of the connection takes precedence over err, because fasthttp reports
// some read errors as the end of the stream, but not over a malformed header.
func (x *exchange) fail(step string, err error) *fault {
	if x.conn.Failure() != nil && !errors.Is(err, responsehead.ErrMalformed) {
		err = x.conn.Failure()
	}
	f := &fault{step: step, cause: err, sentBytes: x.conn.Sent, receivedBytes: x.conn.Received, reusedConnection: x.conn.Reused}
	x.close(false)
	return f
}

// close ends the exchange. The connection is kept only if the response was complete and
// echoed the request id: the next response on it can then be told apart from a duplicate
// of this one.
func (x *exchange) close(complete bool) {
	if x.resp == nil {
		return
	}
	x.d.stats.bytesSent.Add(int(x.conn.Sent))
	x.d.stats.bytesReceived.Add(int(x.conn.Received))
	notCancelled := x.stopCancelWatch()
	keep := complete && notCancelled && x.idEchoed && !x.requestIncomplete && !x.resp.ConnectionClose() && x.conn.R.Buffered() == 0
	x.resp.CloseBodyStream() //nolint:errcheck // the reader owns no resources
	fasthttp.ReleaseResponse(x.resp)
	x.resp, x.body = nil, nil
	if keep {
		x.d.conns.Put(x.conn)
		return
	}
	x.conn.Release()
}

// read reads from the response body. It returns io.ErrUnexpectedEOF for a body that is
// delimited only by the closed connection, because such a body may be truncated.
func (x *exchange) read(p []byte) (int, error) {
	if x.body == nil {
		return 0, io.EOF
	}
	n, err := x.body.Read(p)
	if n > 0 {
		x.conn.BodyRead()
	}
	if err == io.EOF && x.resp.Header.ContentLength() == lengthIdentity {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// endReceived reports whether the last chunk of a chunked body has already arrived and
// is all that is left of it. It does not wait for the target.
func (x *exchange) endReceived() bool {
	const lastChunk = "0\r\n\r\n"
	if x.resp.Header.ContentLength() != lengthChunked || x.conn.R.Buffered() < len(lastChunk) {
		return false
	}
	var b [1]byte
	n, err := x.read(b[:])
	return n == 0 && err == io.EOF
}

// Values of fasthttp's ContentLength for a chunked body, and for one that is delimited
// by the closed connection.
const (
	lengthChunked  = -1
	lengthIdentity = -2
)

// targetState is the state that a target reports in a response header.
type targetState struct {
	warmth   api.Warmth
	boot     uint64
	streamID string
}

// targetState returns the state in the response header. Missing and invalid values
// are unknown, 0 and "".
func (x *exchange) targetState() targetState {
	h := &x.resp.Header
	return targetState{
		warmth:   parseWarmth(string(h.Peek("X-Target-State"))),
		boot:     parseBoot(string(h.Peek("X-Target-Boot"))),
		streamID: string(h.Peek("X-Stream-Id")),
	}
}

// parseWarmth returns api.WarmthUnknown for any other text than "warm" and "cold".
func parseWarmth(s string) api.Warmth {
	switch api.Warmth(s) {
	case api.WarmthWarm, api.WarmthCold:
		return api.Warmth(s)
	}
	return api.WarmthUnknown
}

// parseBoot parses a decimal boot number. It returns 0 for any other text.
func parseBoot(s string) uint64 {
	boot, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0
	}
	return boot
}
