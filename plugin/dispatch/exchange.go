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
	"nutmegrouter/internal/targetconn"
)

// exchange is one request and its answer on one connection.
type exchange struct {
	d    *Dispatcher
	conn *targetconn.Conn
	resp *fasthttp.Response
	body io.Reader // nil if the answer has no body
	stop func() bool
	// partial reports that the request was not written to its end.
	partial bool
	// id names the request; "" = it has no name. Named reports that the answer has it, too.
	id    string
	named bool
}

// headerID names a request. A target that repeats it in its answers shows to which request
// each belongs.
const headerID = "X-Request-Id"

// bounds limits the time of an exchange.
type bounds struct {
	silence time.Duration // of each read and write
	head    time.Time     // end of the wait for the answer's head
	hard    time.Time     // end of the whole exchange
}

// message is what is sent to a target.
type message struct {
	method, path, host string
	header             map[string]string
	extra              [][2]string
	body               []byte
}

// open sends a message and reads the head of the answer. The check runs
// immediately before the first byte is written.
func (d *Dispatcher) open(ctx context.Context, m *message, fresh bool, b bounds, check func() error) (*exchange, *fault) {
	id := m.header[headerID]
	conn, err := d.connect(ctx, m.host, fresh || id == "")
	if err != nil {
		return nil, &fault{step: "connect", cause: err}
	}
	conn.Arm(b.silence, b.head, check)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	x := &exchange{d: d, conn: conn, stop: stop, id: id, resp: fasthttp.AcquireResponse()}
	x.resp.StreamBody = true
	x.resp.SkipBody = m.method == fasthttp.MethodHead
	if step, err := x.talk(m); err != nil {
		return nil, x.fail(step, err)
	}
	x.body = x.resp.BodyStream()
	conn.SetHard(b.hard)
	return x, nil
}

// talk sends the message and reads the head. It returns the step that failed.
func (x *exchange) talk(m *message) (step string, err error) {
	if err := x.send(m); err != nil {
		if x.early() {
			return "", nil
		}
		return "send", err
	}
	if err := x.resp.ReadLimitBody(x.conn.R, 0); err != nil {
		return "head", err
	}
	x.named = x.id != "" && string(x.resp.Header.Peek(headerID)) == x.id
	if x.conn.Reused && !x.named {
		return "head", targetconn.ErrNameless
	}
	return "", nil
}

// early reads the answer of a target that refused a request before it had read
// all of it and closed the connection. Only a refusal is taken for an answer.
func (x *exchange) early() bool {
	c := x.conn
	if c.Sent == 0 || (!errors.Is(c.Failure(), syscall.EPIPE) && !errors.Is(c.Failure(), syscall.ECONNRESET)) {
		return false
	}
	x.partial = true
	return x.resp.ReadLimitBody(c.R, 0) == nil && x.resp.StatusCode() >= fasthttp.StatusBadRequest
}

func (d *Dispatcher) connect(ctx context.Context, host string, fresh bool) (*targetconn.Conn, error) {
	if !fresh {
		if c := d.conns.Take(host); c != nil {
			d.stats.reused.Inc()
			return c, nil
		}
	}
	d.stats.fresh.Inc()
	return d.conns.Dial(ctx, host)
}

// send writes the request with fasthttp's wire format.
func (x *exchange) send(m *message) error {
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
	for _, kv := range m.extra {
		h.Set(kv[0], kv[1])
	}
	req.SetBodyRaw(m.body)
	if err := req.Write(x.conn.W); err != nil {
		return err
	}
	return x.conn.W.Flush()
}

// fail ends an exchange without a head.
func (x *exchange) fail(step string, err error) *fault {
	if x.conn.Failure() != nil {
		err = x.conn.Failure()
	}
	f := &fault{step: step, cause: err, sent: x.conn.Sent, received: x.conn.Received, reused: x.conn.Reused}
	x.close(false)
	return f
}

// close ends the exchange. The connection is kept only if the answer was whole, and named
// its request: the next answer on it can then be told from a second one to this request.
func (x *exchange) close(whole bool) {
	if x.resp == nil {
		return
	}
	x.d.stats.sent.Add(int(x.conn.Sent))
	x.d.stats.received.Add(int(x.conn.Received))
	free := x.stop()
	keep := whole && free && x.named && !x.partial && !x.resp.ConnectionClose() && x.conn.R.Buffered() == 0
	x.resp.CloseBodyStream() //nolint:errcheck // a reader without resources of its own
	fasthttp.ReleaseResponse(x.resp)
	x.resp, x.body = nil, nil
	if keep {
		x.d.conns.Put(x.conn)
		return
	}
	x.conn.Release()
}

// read reads from the body. An end that only the closed connection marks is
// not provably whole and gives io.ErrUnexpectedEOF.
func (x *exchange) read(p []byte) (int, error) {
	if x.body == nil {
		return 0, io.EOF
	}
	n, err := x.body.Read(p)
	if n > 0 {
		x.conn.Progress()
	}
	if err == io.EOF && x.resp.Header.ContentLength() == lengthIdentity {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// ended reports whether the rest of a chunked body is its end mark and has
// already arrived. It does not wait for the target.
func (x *exchange) ended() bool {
	const endMark = "0\r\n\r\n"
	if x.resp.Header.ContentLength() != lengthChunked || x.conn.R.Buffered() < len(endMark) {
		return false
	}
	var b [1]byte
	n, err := x.read(b[:])
	return n == 0 && err == io.EOF
}

// Values that fasthttp uses for the length of a body.
const (
	lengthChunked  = -1
	lengthIdentity = -2
)

// headState is what a target says about itself in the head of an answer.
type headState struct {
	warmth   api.Warmth
	boot     uint64
	streamID string
}

func (x *exchange) state() headState {
	h := &x.resp.Header
	return headState{
		warmth:   parseWarmth(string(h.Peek("X-Target-State"))),
		boot:     parseBoot(string(h.Peek("X-Target-Boot"))),
		streamID: string(h.Peek("X-Stream-Id")),
	}
}

// parseWarmth returns unknown for anything but the two words of the interface.
func parseWarmth(s string) api.Warmth {
	switch api.Warmth(s) {
	case api.WarmthWarm, api.WarmthCold:
		return api.Warmth(s)
	}
	return api.WarmthUnknown
}

// parseBoot returns 0 for anything but a decimal number.
func parseBoot(s string) uint64 {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
