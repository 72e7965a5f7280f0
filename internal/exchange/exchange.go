// Package exchange sends one request over a connection to a target and reads its
// answer. It tells how many bytes of the request the kernel accepted, whether an
// answer is provably whole, and keeps a connection only if nothing of the
// exchange is left on it.
package exchange

import (
	"context"
	"io"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/targetconn"
)

// inlineBody is the size of bodies that are written before the answer is read.
// Longer ones are written beside, because a target may answer before it has read
// them and then stop reading.
const inlineBody = 8 << 10 // bytes

// maxStray bounds the body of an answer to an earlier request that is skipped.
const maxStray = 1 << 20 // bytes

// Request is what is sent. Header holds the request line and the headers; its
// content length is set from Body.
type Request struct {
	Header *fasthttp.RequestHeader
	Body   []byte
}

// Bounds limits the time of an exchange.
type Bounds struct {
	Silence time.Duration // of each read and write
	Head    time.Time     // end of the wait for the answer's head
	Hard    time.Time     // end of the whole exchange
}

// Failure tells why there is no answer.
type Failure struct {
	Step     string // send or head
	Cause    error
	Sent     int64 // bytes of the request that may have reached the target
	Received int64 // bytes of the answer
	Reused   bool  // the connection had served an earlier request
}

// Exchange is one request and its answer.
type Exchange struct {
	Conn *targetconn.Conn
	Resp *fasthttp.Response

	pool    *targetconn.Pool
	body    io.Reader // nil if the answer has no body
	stop    func() bool
	written chan error // result of a write beside the reads; nil if written inline
	partial bool       // the request was not written to its end
	head    bool       // the method is HEAD
}

// Open sends a request over a connection and reads the head of the answer. The
// check runs immediately before the first byte is written. The connection belongs
// to the exchange from now on, also if it fails.
func Open(ctx context.Context, pool *targetconn.Pool, conn *targetconn.Conn, r Request, b Bounds, check func() error) (*Exchange, *Failure) {
	conn.Arm(b.Silence, b.Head, check)
	x := &Exchange{Conn: conn, pool: pool, head: string(r.Header.Method()) == fasthttp.MethodHead}
	x.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	x.acquire()
	step, err := x.talk(r)
	if err != nil {
		return nil, x.fail(step, err)
	}
	conn.SetHard(b.Hard)
	return x, nil
}

func (x *Exchange) acquire() {
	x.Resp = fasthttp.AcquireResponse()
	x.Resp.StreamBody = true
	x.Resp.SkipBody = x.head
}

// talk sends the request and reads the head. It returns the step that failed.
func (x *Exchange) talk(r Request) (step string, err error) {
	if len(r.Body) > inlineBody {
		x.written = make(chan error, 1)
		go func() { x.written <- x.write(r) }()
	} else if err := x.write(r); err != nil {
		if x.early() {
			return "", nil
		}
		return "send", err
	}
	if err := x.readHead(); err != nil {
		return "head", err
	}
	return "", nil
}

func (x *Exchange) write(r Request) error {
	h := r.Header
	h.SetContentLength(len(r.Body))
	if _, err := x.Conn.W.Write(h.Header()); err != nil {
		return err
	}
	if _, err := x.Conn.W.Write(r.Body); err != nil {
		return err
	}
	return x.Conn.W.Flush()
}

func (x *Exchange) readHead() error {
	err := x.Resp.ReadLimitBody(x.Conn.R, 0)
	x.body = x.Resp.BodyStream()
	return err
}

// early reads the answer of a target that refused a request before it had read
// all of it and closed the connection. Only a refusal is taken for an answer.
func (x *Exchange) early() bool {
	c := x.Conn
	if c.Sent == 0 || (!errors.Is(c.WriteFailure, syscall.EPIPE) && !errors.Is(c.WriteFailure, syscall.ECONNRESET)) {
		return false
	}
	x.partial = true
	return x.readHead() == nil && x.Resp.StatusCode() >= fasthttp.StatusBadRequest
}

// Skip drops the answer, which belongs to an earlier request, and reads the next
// one on the connection.
func (x *Exchange) Skip() error {
	if x.Identity() {
		return errors.New("a stray answer ends only with its connection")
	}
	if x.body != nil {
		switch _, err := io.CopyN(io.Discard, x.body, maxStray); err {
		case io.EOF:
		case nil:
			return errors.New("a stray answer without end")
		default:
			return err
		}
	}
	x.release()
	x.acquire()
	return x.readHead()
}

// fail ends an exchange without a head.
func (x *Exchange) fail(step string, err error) *Failure {
	_ = x.Conn.Conn.Close() // ends a write beside
	x.awaitWrite()
	if f := x.Conn.Failure(); f != nil {
		err = f
	}
	f := &Failure{Step: step, Cause: err, Sent: x.Conn.Sent, Received: x.Conn.Received, Reused: x.Conn.Reused}
	x.Close(false)
	return f
}

// awaitWrite waits for the end of a write beside the reads.
func (x *Exchange) awaitWrite() {
	if x.written == nil {
		return
	}
	if err := <-x.written; err != nil {
		x.partial = true
	}
	x.written = nil
}

// writeEnded reports whether the whole request has been written, without waiting.
func (x *Exchange) writeEnded() bool {
	if x.written == nil {
		return !x.partial
	}
	select {
	case err := <-x.written:
		x.written, x.partial = nil, err != nil
		return !x.partial
	default:
		return false
	}
}

// Close ends the exchange. The connection is kept only if the answer was whole
// and nothing of the request or the answer is left on it.
func (x *Exchange) Close(whole bool) {
	if x.Resp == nil {
		return
	}
	free := x.stop()
	keep := whole && free && x.writeEnded() && !x.Resp.ConnectionClose() && !x.Identity() && x.Conn.R.Buffered() == 0
	x.release()
	if keep {
		x.pool.Put(x.Conn)
		return
	}
	_ = x.Conn.Conn.Close() // ends a write beside
	x.awaitWrite()
	x.Conn.Release()
}

func (x *Exchange) release() {
	_ = x.Resp.CloseBodyStream() // a reader without resources of its own
	fasthttp.ReleaseResponse(x.Resp)
	x.Resp, x.body = nil, nil
}

// Values that fasthttp uses for the length of a body.
const (
	lengthChunked  = -1
	lengthIdentity = -2
)

// Identity reports that only the end of the connection ends the answer.
func (x *Exchange) Identity() bool {
	return x.body != nil && x.Resp.Header.ContentLength() == lengthIdentity
}

// Read reads from the body. It returns io.EOF only after a whole body. One that
// ends with its connection is whole unless the connection was reset.
func (x *Exchange) Read(p []byte) (int, error) {
	if x.body == nil {
		return 0, io.EOF
	}
	n, err := x.body.Read(p)
	if n > 0 {
		x.Conn.Progress()
	}
	if err == io.EOF && x.Identity() && x.Conn.ReadFailure != io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Ended reports whether the rest of a chunked body is its end mark and has
// already arrived. It does not wait for the target.
func (x *Exchange) Ended() bool {
	const endMark = "0\r\n\r\n"
	if x.Resp.Header.ContentLength() != lengthChunked || x.Conn.R.Buffered() < len(endMark) {
		return false
	}
	var b [1]byte
	n, err := x.Read(b[:])
	return n == 0 && err == io.EOF
}
