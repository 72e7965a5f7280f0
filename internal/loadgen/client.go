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

// Verdict classifies the outcome of a request as its caller sees it.
type Verdict int

// Verdicts.
const (
	// Whole means that every byte of the caller's own response arrived.
	Whole Verdict = iota
	// Refused means a refusal that states that the request did not run.
	Refused
	// Unknown means a refusal that states that the outcome is unknown.
	Unknown
	// Broken means a response stream that ended with an explicit error event.
	Broken
	// Lost means no response, a truncated response or an error that does not state
	// whether the request ran.
	Lost
	// Wrong means that the response has bytes that differ from the expected ones.
	Wrong
)

// attempt is the outcome of one send to an entry instance or target.
type attempt struct {
	verdict    Verdict
	code       string        // HTTP status and error of a refusal, or error text
	notSent    bool          // the request never left the client
	retryAfter time.Duration // from the response header; 0 = none
	firstByte  time.Time
	gaps       []time.Duration // times between events after the first read
}

const (
	maxConnsPerHost   = 1 << 16
	idleConnTimeout   = 5 * time.Second
	dialTimeout       = 2 * time.Second
	readBufferBytes   = 32 << 10
	maxErrorBodyBytes = 64 << 10
)

// sender sends requests to entry instances or, for a direct plan, to targets.
type sender struct {
	plan        *Plan
	readTimeout time.Duration
	nextDirect  atomic.Uint64

	mu      sync.Mutex
	clients map[string]*fasthttp.HostClient
	// freeSlots holds, by pool, the address of a direct target once per free slot.
	freeSlots map[string]chan string
}

func newSender(p *Plan) *sender {
	s := &sender{plan: p, readTimeout: p.Timeout, clients: map[string]*fasthttp.HostClient{}}
	if s.readTimeout == 0 {
		s.readTimeout = time.Minute
	}
	if p.DirectSlots > 0 {
		s.initSlots()
	}
	return s
}

// initSlots marks all slots of the direct targets as free, in round-robin order.
func (s *sender) initSlots() {
	s.freeSlots = map[string]chan string{}
	for pool, list := range s.plan.Direct {
		c := make(chan string, s.plan.DirectSlots*len(list))
		for range s.plan.DirectSlots {
			for _, addr := range list {
				c <- addr
			}
		}
		s.freeSlots[pool] = c
	}
}

// acquireAddr returns the address to send a job to and a function that releases
// its slot. It blocks while all slots of a direct pool are in use.
func (s *sender) acquireAddr(j *Job, entry func() int) (addr string, release func()) {
	if c := s.freeSlots[j.Kind.Pool]; c != nil {
		addr := <-c
		return addr, func() { c <- addr }
	}
	if list := s.plan.Direct[j.Kind.Pool]; len(list) > 0 {
		return list[s.nextDirect.Add(1)%uint64(len(list))], func() {}
	}
	return s.plan.Entries[entry()], func() {}
}

// client returns the HTTP client for an address and creates it on first use.
func (s *sender) client(addr string) *fasthttp.HostClient {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.clients[addr]
	if h == nil {
		h = &fasthttp.HostClient{
			Addr: addr, MaxConns: maxConnsPerHost, MaxIdleConnDuration: idleConnTimeout, StreamResponseBody: true,
			MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true, DisablePathNormalizing: true,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial:       s.dial,
		}
		s.clients[addr] = h
	}
	return h
}

// errDial marks errors of requests that never left the client.
var errDial = errors.New("dial")

func (s *sender) dial(addr string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, errors.Wrap(errDial, err.Error())
	}
	return &deadlineConn{Conn: c, readTimeout: s.readTimeout}, nil
}

// deadlineConn sets a deadline for each read, because fasthttp's own timeouts
// would bound the whole streamed response.
type deadlineConn struct {
	net.Conn
	readTimeout time.Duration
}

// Read implements net.Conn.
func (c *deadlineConn) Read(p []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

func (s *sender) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.clients {
		h.CloseIdleConnections()
	}
}

// send makes one attempt at an address and reads and checks the whole response.
func (s *sender) send(ctx context.Context, j *Job, addr string, body []byte) attempt {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	s.fillRequest(req, j, addr, body)
	h := s.client(addr)
	if err := h.Do(req, resp); err != nil {
		return attempt{verdict: Lost, code: err.Error(), notSent: errors.Is(err, errDial)}
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if resp.StatusCode() != fasthttp.StatusOK {
		return readRefusal(resp)
	}
	return checkBody(ctx, resp, expectedBody(j, body))
}

// fillRequest sets the method, URL, headers and body of the request for a job.
func (s *sender) fillRequest(req *fasthttp.Request, j *Job, addr string, body []byte) {
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

// expectedBody returns the response body that a target sends for a job.
func expectedBody(j *Job, body []byte) []byte {
	if j.Kind.Engine() {
		return standin.StreamBody(body, j.Size)
	}
	return standin.ServiceBody(body, 256)
}

// readRefusal classifies a response whose status is not 200 by its X-Run header.
func readRefusal(resp *fasthttp.Response) attempt {
	text, _ := io.ReadAll(io.LimitReader(resp.BodyStream(), maxErrorBodyBytes))
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

// errorEvent is the start of the event with which an entry instance ends a broken
// stream.
var errorEvent = []byte("event: error\ndata: ")

// errorText returns the step, code and message of an error document, without the
// fields that differ for each request, so that equal errors can be counted. A body
// that is no error document is returned as it is.
func errorText(raw []byte) string {
	var e struct {
		Error struct{ Code, Message, Step string }
	}
	if err := json.NewDecoder(bytes.NewReader(raw)).Decode(&e); err != nil || e.Error.Code == "" {
		return string(raw)
	}
	return e.Error.Step + ": " + e.Error.Code + ": " + e.Error.Message
}

// checkBody reads a response, compares it with the expected bytes as they arrive
// and records when they arrived.
func checkBody(ctx context.Context, resp *fasthttp.Response, want []byte) (a attempt) {
	buf := make([]byte, readBufferBytes)
	lastRead := time.Time{}
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
			a.recordRead(now, lastRead, bytes.Count(buf[:n], []byte("\n\n")))
			lastRead = now
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

// excerptBytes is the length of the excerpts of both bodies in an error text.
const excerptBytes = 60

// differenceText describes the first byte at which got differs from want, with an
// excerpt of both. got was read at offset off of the body.
func differenceText(want, got []byte, off int) string {
	i := 0
	for i < len(got) && off+i < len(want) && got[i] == want[off+i] {
		i++
	}
	excerpt := func(b []byte, from int) []byte { return b[min(from, len(b)):min(from+excerptBytes, len(b))] }
	return fmt.Sprintf("wrong bytes at %d of %d: got %q, want %q", off+i, len(want), excerpt(got, max(0, i-20)), excerpt(want, max(0, off+i-20)))
}

// recordRead records the arrival time of the first read, and the time per event
// since the previous read for each later one.
func (a *attempt) recordRead(now, previous time.Time, events int) {
	if previous.IsZero() {
		a.firstByte = now
		return
	}
	for range events {
		a.gaps = append(a.gaps, now.Sub(previous)/time.Duration(events))
	}
}

// Send makes one attempt at a job at an address and returns its verdict and, unless
// that is Whole, the error text. A failed connect counts as Refused.
func (p *Plan) Send(ctx context.Context, j *Job, addr string) (Verdict, string) {
	s := newSender(p)
	defer s.close()
	a := s.send(ctx, j, addr, j.Body())
	if a.notSent {
		a.verdict = Refused
	}
	return a.verdict, a.code
}

// String returns the name of a verdict in lower case.
func (v Verdict) String() string {
	return [...]string{"whole", "refused", "unknown", "broken", "lost", "wrong"}[v]
}
