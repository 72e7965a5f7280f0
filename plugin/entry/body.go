package entry

import (
	"bytes"
	"io"
	"strings"

	"nutmegrouter/internal/api"
)

// responseBody streams a target's response body to the caller. On a read error fasthttp
// closes the connection without the last chunk, so that a truncated response never looks
// complete.
type responseBody struct {
	server     *Server
	resp       api.Response
	release    func()
	id         string
	events     bool   // server-sent events
	tail       []byte // last bytes of an event stream, up to 4, to detect event boundaries
	errorEvent []byte // unread rest of the final error event
	err        error
	closed     bool
}

func newResponseBody(s *Server, resp api.Response, header *api.ResponseHead, id string, release func()) *responseBody {
	contentType := strings.ToLower(header.Header["Content-Type"])
	return &responseBody{server: s, resp: resp, release: release, id: id, events: strings.HasPrefix(contentType, "text/event-stream")}
}

// Read implements io.Reader. A broken event stream ends with an error event before the
// error is returned.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.err == nil {
		n, err := b.resp.Read(p)
		b.keepTail(p[:n])
		if err != nil {
			b.finish(err)
		}
		if n > 0 {
			return n, nil
		}
	}
	if len(b.errorEvent) > 0 {
		n := copy(p, b.errorEvent)
		b.errorEvent = b.errorEvent[n:]
		return n, nil
	}
	return 0, b.err
}

// keepTail keeps the last bytes of an event stream.
func (b *responseBody) keepTail(p []byte) {
	if !b.events {
		return
	}
	b.tail = append(b.tail, p[max(0, len(p)-4):]...)
	b.tail = b.tail[max(0, len(b.tail)-4):]
}

// finish records the error that ends the body, io.EOF if it is complete. It counts any
// other error, and prepares an error event unless the stream broke within an event.
func (b *responseBody) finish(err error) {
	b.err = err
	if err == io.EOF {
		return
	}
	b.server.stats.truncated.Inc()
	r := asRefusal(err)
	b.server.stats.countRefusal(r.Code)
	if b.events && b.atEventBoundary() {
		b.errorEvent = append(append([]byte("event: error\ndata: "), refusalBody(r, b.id)...), "\n\n"...)
	}
}

// atEventBoundary reports whether the stream has no incomplete event so far.
func (b *responseBody) atEventBoundary() bool {
	return len(b.tail) == 0 || bytes.HasSuffix(b.tail, []byte("\n\n")) || bytes.HasSuffix(b.tail, []byte("\n\r\n"))
}

// Close implements io.Closer. fasthttp calls it after the last read.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	err := b.resp.Close()
	b.release()
	return err
}
