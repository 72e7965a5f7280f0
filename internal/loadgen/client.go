package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/standin"
)

// Verdict is what became of a request, as its caller sees it.
type Verdict int

// Verdicts.
const (
	// Whole means that every byte of the caller's own response arrived.
	Whole Verdict = iota
	// Refused means a rejection that says "not run".
	Refused
	// Unknown means a rejection that says that the outcome is unknown.
	Unknown
	// Broken means a stream that ended with an explicit error event.
	Broken
	// Lost means no response, a truncated one or an unexplained error.
	Lost
	// Wrong means bytes that do not belong to the request.
	Wrong
)

// attempt is the outcome of one send.
type attempt struct {
	verdict    Verdict
	code       string // code of the rejection or text of the error
	unsent     bool   // the request never left the client
	retryAfter time.Duration
	firstByte  time.Time
	gaps       []time.Duration
}

const (
	maxConns     = 1 << 16
	idleConn     = 5 * time.Second
	dialLimit    = 2 * time.Second
	readSize     = 32 << 10
	maxErrorBody = 64 << 10
)

// sender sends requests to entries or, without a router, to targets.
type sender struct {
	plan  *Plan
	limit time.Duration
	next  atomic.Uint64

	mu    sync.Mutex
	hosts map[string]*fasthttp.HostClient
	// slots holds the free slots of the direct targets by pool.
	slots map[string]chan string
}

func newSender(p *Plan) *sender {
	s := &sender{plan: p, limit: p.Timeout, hosts: map[string]*fasthttp.HostClient{}}
	if s.limit == 0 {
		s.limit = time.Minute
	}
	if p.DirectSlots > 0 {
		s.fillSlots()
	}
	return s
}

// fillSlots offers the slots of the direct targets in turn.
func (s *sender) fillSlots() {
	s.slots = map[string]chan string{}
	for pool, list := range s.plan.Direct {
		c := make(chan string, s.plan.DirectSlots*len(list))
		for range s.plan.DirectSlots {
			for _, addr := range list {
				c <- addr
			}
		}
		s.slots[pool] = c
	}
}

// take waits for the address to send a job to and returns a function that frees
// its slot.
func (s *sender) take(j *Job, entry func() int) (addr string, free func()) {
	if c := s.slots[j.Kind.Pool]; c != nil {
		addr := <-c
		return addr, func() { c <- addr }
	}
	if list := s.plan.Direct[j.Kind.Pool]; len(list) > 0 {
		return list[s.next.Add(1)%uint64(len(list))], func() {}
	}
	return s.plan.Entries[entry()], func() {}
}

func (s *sender) host(addr string) *fasthttp.HostClient {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.hosts[addr]
	if h == nil {
		h = &fasthttp.HostClient{
			Addr: addr, MaxConns: maxConns, MaxIdleConnDuration: idleConn, StreamResponseBody: true,
			MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true, DisablePathNormalizing: true,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial:       s.dial,
		}
		s.hosts[addr] = h
	}
	return h
}

var errDial = errors.New("dial")

func (s *sender) dial(addr string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, dialLimit)
	if err != nil {
		return nil, errors.Wrap(errDial, err.Error())
	}
	return &deadlineConn{Conn: c, limit: s.limit}, nil
}

// deadlineConn bounds each read, because fasthttp's own timeouts would bound
// the whole streamed response.
type deadlineConn struct {
	net.Conn
	limit time.Duration
}

// Read implements net.Conn.
func (c *deadlineConn) Read(p []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(c.limit)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

func (s *sender) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.hosts {
		h.CloseIdleConnections()
	}
}

// send makes one attempt at the address.
func (s *sender) send(ctx context.Context, j *Job, addr string, body []byte) attempt {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	s.fill(req, j, addr, body)
	h := s.host(addr)
	if err := h.Do(req, resp); err != nil {
		return attempt{verdict: Lost, code: err.Error(), unsent: errors.Is(err, errDial)}
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if resp.StatusCode() != fasthttp.StatusOK {
		return readRejection(resp)
	}
	return checkBody(ctx, resp, expected(j, body))
}

func (s *sender) fill(req *fasthttp.Request, j *Job, addr string, body []byte) {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + addr + j.path(s.plan.Direct != nil))
	req.Header.SetContentType("application/json")
	req.Header.Set("Authorization", "Bearer "+s.plan.Workspaces[j.Workspace].Key)
	req.Header.Set("X-Request-Id", j.Tag)
	req.Header.Set("X-Cost-Hint", strconv.FormatFloat(j.Hint, 'f', 2, 64))
	if j.Kind.Class != "" {
		req.Header.Set("X-Cost-Class", j.Kind.Class)
	}
	if j.Kind.Keyed {
		req.Header.Set("Idempotency-Key", j.Tag)
		req.Header.Set("X-Non-Idempotent", "true")
	}
	req.SetBody(body)
}

func expected(j *Job, body []byte) []byte {
	if j.Kind.Engine() {
		return standin.StreamBody(body, j.Size)
	}
	return standin.ServiceBody(body, 256)
}

func readRejection(resp *fasthttp.Response) attempt {
	text, _ := io.ReadAll(io.LimitReader(resp.BodyStream(), maxErrorBody))
	a := attempt{verdict: Lost, code: strconv.Itoa(resp.StatusCode()) + " " + errorText(text)}
	switch string(resp.Header.Peek("X-Run")) {
	case "not-run":
		a.verdict = Refused
	case "unknown":
		a.verdict = Unknown
	}
	if n, err := strconv.ParseFloat(string(resp.Header.Peek("Retry-After")), 64); err == nil {
		a.retryAfter = time.Duration(n * float64(time.Second))
	}
	return a
}

// errorEvent begins the event by which a router ends a broken stream.
var errorEvent = []byte("event: error\ndata: ")

// errorText returns the code and the message of an error without the parts that
// differ for each request.
func errorText(raw []byte) string {
	var e struct {
		Error struct{ Code, Message, Step string }
	}
	if err := json.NewDecoder(bytes.NewReader(raw)).Decode(&e); err != nil || e.Error.Code == "" {
		return string(raw)
	}
	return e.Error.Step + ": " + e.Error.Code + ": " + e.Error.Message
}

// checkBody compares a response with the expected bytes as they arrive.
func checkBody(ctx context.Context, resp *fasthttp.Response, want []byte) (a attempt) {
	buf := make([]byte, readSize)
	last := time.Time{}
	for off := 0; ; {
		n, err := resp.BodyStream().Read(buf)
		if n > 0 {
			now := time.Now()
			if off+n > len(want) || !bytes.Equal(buf[:n], want[off:off+n]) {
				a.verdict, a.code = Wrong, differenceText(want, buf[:n], off)
				if i := bytes.Index(buf[:n], errorEvent); i >= 0 && off+i <= len(want) && bytes.Equal(buf[:i], want[off:off+i]) {
					a.verdict, a.code = Broken, "in the stream: "+errorText(buf[i+len(errorEvent):n])
				}
				return a
			}
			a.note(now, last, bytes.Count(buf[:n], []byte("\n\n")))
			last = now
			off += n
		}
		switch {
		case err == io.EOF && off == len(want):
			return a
		case err != nil:
			a.verdict, a.code = Lost, "truncated: "+err.Error()
			return a
		case ctx.Err() != nil:
			a.verdict, a.code = Lost, "run ended"
			return a
		}
	}
}

// shownBytes is how much of a difference an error shows.
const shownBytes = 60

// differenceText shows the first byte that differs, with a little context.
func differenceText(want, got []byte, off int) string {
	i := 0
	for i < len(got) && off+i < len(want) && got[i] == want[off+i] {
		i++
	}
	cut := func(b []byte, from int) []byte { return b[min(from, len(b)):min(from+shownBytes, len(b))] }
	return fmt.Sprintf("wrong bytes at %d of %d: got %q, want %q", off+i, len(want), cut(got, max(0, i-20)), cut(want, max(0, off+i-20)))
}

// note records the time of a read that brought a number of events.
func (a *attempt) note(now, last time.Time, events int) {
	if last.IsZero() {
		a.firstByte = now
		return
	}
	for range events {
		a.gaps = append(a.gaps, now.Sub(last)/time.Duration(events))
	}
}

// Send makes one attempt at one job and returns what became of it.
func (p *Plan) Send(ctx context.Context, j *Job, addr string) (Verdict, string) {
	s := newSender(p)
	defer s.close()
	a := s.send(ctx, j, addr, j.Body())
	if a.unsent {
		a.verdict = Refused
	}
	return a.verdict, a.code
}

// String names a verdict.
func (v Verdict) String() string {
	return [...]string{"whole", "refused", "unknown", "broken", "lost", "wrong"}[v]
}
