package entry

import (
	"bytes"
	"io"
	"strings"

	"nutmegrouter/internal/api"
)

// body passes an answer on as it arrives. A failure ends it with an error, for
// which fasthttp closes the connection without an end mark, so that a cut
// answer never looks whole.
type body struct {
	server *Server
	ans    api.Answer
	end    func()
	id     string
	events bool   // server-sent events
	tail   []byte // newest bytes of the stream, to find its event boundaries
	last   []byte // error event still to be delivered
	err    error
	closed bool
}

func newBody(s *Server, ans api.Answer, head *api.AnswerHead, id string, end func()) *body {
	kind := strings.ToLower(head.Header["Content-Type"])
	return &body{server: s, ans: ans, end: end, id: id, events: strings.HasPrefix(kind, "text/event-stream")}
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.err == nil {
		n, err := b.ans.Read(p)
		b.observe(p[:n])
		if err != nil {
			b.fail(err)
		}
		if n > 0 {
			return n, nil
		}
	}
	if len(b.last) > 0 {
		n := copy(p, b.last)
		b.last = b.last[n:]
		return n, nil
	}
	return 0, b.err
}

// observe keeps the last bytes of an event stream.
func (b *body) observe(p []byte) {
	if !b.events {
		return
	}
	b.tail = append(b.tail, p[max(0, len(p)-4):]...)
	b.tail = b.tail[max(0, len(b.tail)-4):]
}

// fail sets the end of the body. A broken event stream ends in an error event,
// unless it broke inside of an event.
func (b *body) fail(err error) {
	b.err = err
	if err == io.EOF {
		return
	}
	b.server.stats.cut.Inc()
	r := asRefusal(err)
	b.server.stats.refusal(r.Code)
	if b.events && b.atBoundary() {
		b.last = append(append([]byte("event: error\ndata: "), refusalBody(r, b.id)...), "\n\n"...)
	}
}

func (b *body) atBoundary() bool {
	return len(b.tail) == 0 || bytes.HasSuffix(b.tail, []byte("\n\n")) || bytes.HasSuffix(b.tail, []byte("\n\r\n"))
}

// Close implements io.Closer. fasthttp calls it after the last read.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	err := b.ans.Close()
	b.end()
	return err
}
