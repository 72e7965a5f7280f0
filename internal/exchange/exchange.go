// Package exchange performs one HTTP/1.1 exchange, a request and its response, over a
// connection to a target. It reports how many bytes of the request the kernel accepted and
// whether the response is provably complete. A connection returns to the pool only if no
// byte of the exchange is left on it. A response with a malformed head is an error (package
// responsehead).
package exchange

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/responsehead"
	"nutmegrouter/internal/targetconn"
)

// maxInlineBody is the size up to which a body is written before the response is read. A
// longer one is written by a goroutine of its own, because a target may respond before it
// has read the body and then stop reading.
const maxInlineBody = 8 << 10 // bytes

// maxStrayBody limits the body of a skipped response to an earlier request.
const maxStrayBody = 1 << 20 // bytes

// Request is a request to send. Header holds the request line and the headers; Open sets
// its content length from Body.
type Request struct {
	Header *fasthttp.RequestHeader
	Body   []byte
}

// Timeouts holds the time limits of an exchange.
type Timeouts struct {
	IOTimeout      time.Duration // timeout of each single read and write
	HeaderDeadline time.Time     // deadline of the response header
	Deadline       time.Time     // deadline of the whole exchange
}

// Failure describes why an exchange has no response.
type Failure struct {
	Step     string // "send" or "head"
	Cause    error
	Sent     int64 // bytes of the request that the kernel accepted; the target may have received them
	Received int64 // bytes of the response
	Reused   bool  // the connection was used for an earlier request
}

// Exchange is one request and its response. Conn and Resp are valid until Close; Resp holds
// the status and headers, and Read returns the body.
type Exchange struct {
	Conn *targetconn.Conn
	Resp *fasthttp.Response

	pool            *targetconn.Pool
	body            io.Reader   // nil if the response has no body
	stopCancelWatch func() bool // stops closing Conn when the context ends; false if that has begun
	writeDone       chan error  // result of the goroutine that writes the request; nil if there is none
	writeIncomplete bool        // the request was not written completely
	isHead          bool        // the method is HEAD
}

// Open sends a request over a connection and reads the response header. It calls
// beforeSend immediately before the first byte is written; an error of beforeSend fails the
// exchange. When the context ends, the connection is closed. The exchange owns the
// connection from this call on, also if Open fails.
func Open(ctx context.Context, pool *targetconn.Pool, conn *targetconn.Conn, r Request, timeouts Timeouts, beforeSend func() error) (*Exchange, *Failure) {
	conn.StartRequest(timeouts.IOTimeout, timeouts.HeaderDeadline, beforeSend)
	x := &Exchange{Conn: conn, pool: pool, isHead: string(r.Header.Method()) == fasthttp.MethodHead}
	x.stopCancelWatch = context.AfterFunc(ctx, func() { _ = conn.Close() })
	x.acquireResponse()
	step, err := x.sendAndReadHeader(r)
	if err != nil {
		return nil, x.fail(step, err)
	}
	conn.SetRequestDeadline(timeouts.Deadline)
	return x, nil
}

func (x *Exchange) acquireResponse() {
	x.Resp = fasthttp.AcquireResponse()
	x.Resp.StreamBody = true
	x.Resp.SkipBody = x.isHead
}

// sendAndReadHeader sends the request and reads the response header. Its step is the one
// that failed.
func (x *Exchange) sendAndReadHeader(r Request) (step string, err error) {
	if len(r.Body) > maxInlineBody {
		x.writeDone = make(chan error, 1)
		go func() { x.writeDone <- x.write(r) }()
	} else if err := x.write(r); err != nil {
		refused, headErr := x.readEarlyRefusal()
		switch {
		case refused:
			return "", nil
		case errors.Is(headErr, responsehead.ErrMalformed):
			return "head", headErr
		}
		return "send", err
	}
	if err := x.readHeader(); err != nil {
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

func (x *Exchange) readHeader() error {
	err := responsehead.Read(x.Resp, x.Conn.R)
	x.body = x.Resp.BodyStream()
	return err
}

// readEarlyRefusal reads the response header of a target that refused a request and closed
// the connection before it had read the whole request. It reports whether there is such a
// response, or why its header could not be read; only one with an error status is accepted.
func (x *Exchange) readEarlyRefusal() (refused bool, err error) {
	c := x.Conn
	if c.Sent == 0 || (!errors.Is(c.WriteFailure, syscall.EPIPE) && !errors.Is(c.WriteFailure, syscall.ECONNRESET)) {
		return false, nil
	}
	x.writeIncomplete = true
	if err := x.readHeader(); err != nil {
		return false, err
	}
	return x.Resp.StatusCode() >= fasthttp.StatusBadRequest, nil
}

// SkipResponse discards the response, which belongs to an earlier request, and reads the
// header of the next one on the connection. It fails for a body that ends only with the
// connection or exceeds 1 MiB.
func (x *Exchange) SkipResponse() error {
	if x.EndsWithConnection() {
		return errors.New("the body of a stray response ends only with its connection")
	}
	if x.body != nil {
		switch _, err := io.CopyN(io.Discard, x.body, maxStrayBody); err {
		case io.EOF:
		case nil:
			return errors.New("the body of a stray response exceeds the size limit")
		default:
			return err
		}
	}
	x.releaseResponse()
	x.acquireResponse()
	return x.readHeader()
}

// fail closes an exchange that has no response header. The first error of the connection
// itself replaces err, unless the header is malformed.
func (x *Exchange) fail(step string, err error) *Failure {
	_ = x.Conn.Conn.Close() // unblocks the writing goroutine
	x.awaitWrite()
	if f := x.Conn.Failure(); f != nil && !errors.Is(err, responsehead.ErrMalformed) {
		err = f
	}
	f := &Failure{Step: step, Cause: err, Sent: x.Conn.Sent, Received: x.Conn.Received, Reused: x.Conn.Reused}
	x.Close(false)
	return f
}

// awaitWrite waits for the goroutine that writes the request, if there is one.
func (x *Exchange) awaitWrite() {
	if x.writeDone == nil {
		return
	}
	if err := <-x.writeDone; err != nil {
		x.writeIncomplete = true
	}
	x.writeDone = nil
}

// writeComplete reports whether the whole request has been written. It does not wait.
func (x *Exchange) writeComplete() bool {
	if x.writeDone == nil {
		return !x.writeIncomplete
	}
	select {
	case err := <-x.writeDone:
		x.writeDone, x.writeIncomplete = nil, err != nil
		return !x.writeIncomplete
	default:
		return false
	}
}

// Close ends the exchange. The connection returns to the pool only if complete reports
// that the response was read to its end and no byte of the request or the response is left
// on it; otherwise it is closed. Further calls have no effect.
func (x *Exchange) Close(complete bool) {
	if x.Resp == nil {
		return
	}
	notCancelled := x.stopCancelWatch()
	keep := complete && notCancelled && x.writeComplete() && !x.Resp.ConnectionClose() && !x.EndsWithConnection() && x.Conn.R.Buffered() == 0
	x.releaseResponse()
	if keep {
		x.pool.Put(x.Conn)
		return
	}
	_ = x.Conn.Conn.Close() // unblocks the writing goroutine
	x.awaitWrite()
	x.Conn.Release()
}

func (x *Exchange) releaseResponse() {
	_ = x.Resp.CloseBodyStream() // the stream has no resources to free
	fasthttp.ReleaseResponse(x.Resp)
	x.Resp, x.body = nil, nil
}

// Special values of fasthttp's ContentLength.
const (
	lengthChunked  = -1
	lengthIdentity = -2
)

// EndsWithConnection reports whether the body has no length and no chunks, so that it ends
// only with the connection.
func (x *Exchange) EndsWithConnection() bool {
	return x.body != nil && x.Resp.Header.ContentLength() == lengthIdentity
}

// Read implements io.Reader on the response body. It returns io.EOF only after the whole
// body. A body that ends with its connection is complete only if the connection was not
// reset.
func (x *Exchange) Read(p []byte) (int, error) {
	if x.body == nil {
		return 0, io.EOF
	}
	n, err := x.body.Read(p)
	if n > 0 {
		x.Conn.BodyRead()
	}
	if err == io.EOF && x.EndsWithConnection() {
		if cause := x.connectionError(); cause != nil {
			err = errors.WithMessagef(io.ErrUnexpectedEOF, "the response ended with its connection, %v", cause)
		}
	}
	return n, err
}

// connectionError returns why the connection did not end in order, or nil if the target has
// ended its direction without a reset. The kernel reports a reset once: if the writer of the
// request got it, the reader gets a plain end of the stream. It must be called at that end
// only, because it stops the writer.
func (x *Exchange) connectionError() error {
	if x.Conn.ReadFailure != io.EOF {
		return errors.Errorf("read: %v", x.Conn.ReadFailure)
	}
	_ = x.Conn.Conn.Close() // unblocks the writing goroutine
	x.awaitWrite()
	err := x.Conn.WriteFailure
	switch {
	case errors.Is(err, net.ErrClosed): // the writer was stopped here
		return nil
	case errors.Is(err, syscall.EPIPE): // the target ended its direction, then reset the connection
		return nil
	}
	return err
}

// LastChunkReceived reports whether only the last chunk of a chunked body is left and has
// already been received. It does not wait for the target.
func (x *Exchange) LastChunkReceived() bool {
	const lastChunk = "0\r\n\r\n"
	if x.Resp.Header.ContentLength() != lengthChunked || x.Conn.R.Buffered() < len(lastChunk) {
		return false
	}
	var b [1]byte
	n, err := x.Read(b[:])
	return n == 0 && err == io.EOF
}
