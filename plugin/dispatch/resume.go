package dispatch

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/sse"
)

// Bounds of resumes and cancels.
const (
	maxResumes    = 7                     // in a row without a delivered event; about 3 s, the time of a takeover
	resumeBackoff = 50 * time.Millisecond // doubled for each further try
	cancelLimit   = 2 * time.Second       // a cancel without an answer is given up
)

var errNotResumable = errors.New("the engine cannot resume the stream")

// resume reopens a broken stream after the last delivered event. It is the same
// request again, so a non-idempotent one is never resumed: an engine that knows
// no resume would run it a second time.
func (a *eventAnswer) resume(cause error) bool {
	a.closeExchange()
	if a.call.req.NonIdempotent || a.streamID == "" || !a.order.resumable() {
		return false
	}
	if a.progress {
		a.resumes, a.progress = 0, false
	}
	for a.resumes < maxResumes && time.Now().Before(a.hard) && a.call.ctx.Err() == nil {
		if a.resumes > 0 && !a.call.sleep(resumeBackoff<<(a.resumes-1)) {
			return false
		}
		a.resumes++
		a.call.stats.resumes.Inc()
		err := a.reopen()
		a.call.d.record("resume", "stream", a.call, a.slot.grant.Target, resumeDetail(cause, a.order.last, err))
		if err == nil {
			return true
		}
		if errors.Is(err, errNotResumable) {
			return false
		}
	}
	return false
}

func resumeDetail(cause error, last uint64, err error) string {
	s := "after event " + strconv.FormatUint(last, 10) + ": " + cause.Error()
	if err != nil {
		s += ": " + err.Error()
	}
	return s
}

// reopen makes one try to resume.
func (a *eventAnswer) reopen() error {
	c := a.call
	m := c.message(a.slot.grant)
	m.extra = [][2]string{
		{"X-Resume-Id", a.streamID},
		{"Last-Event-ID", strconv.FormatUint(a.order.last, 10)},
	}
	b := bounds{silence: c.pool.SilenceLimit(), head: a.hard, hard: a.hard}
	x, f := c.d.open(c.ctx, m, true, b, c.d.permitResume)
	if f != nil {
		return f
	}
	if err := a.sameStream(x); err != nil {
		x.close(false)
		return err
	}
	a.x = x
	a.events = sse.NewReader(readFunc(x.read), c.d.answers)
	a.order.restart()
	a.lastSeen = time.Now()
	return nil
}

// sameStream checks that the engine resumed the stream. One that began a new
// stream instead would send another answer, so that stream is cancelled.
func (a *eventAnswer) sameStream(x *exchange) error {
	status, st := x.resp.StatusCode(), x.state()
	if status == fasthttp.StatusOK && st.streamID == a.streamID && isEvents(x) {
		a.slot.warmth = st.warmth
		return nil
	}
	if st.streamID != "" && st.streamID != a.streamID {
		a.call.cancelStream(a.slot.grant.Address, st.streamID, func() {})
		return errors.WithMessage(errNotResumable, "it began another stream")
	}
	if status == fasthttp.StatusTooManyRequests || status >= fasthttp.StatusInternalServerError {
		return statusError(status)
	}
	return errors.WithMessage(errNotResumable, "status "+strconv.Itoa(status))
}

// sleep waits and reports false if the caller went away meanwhile.
func (c *call) sleep(wait time.Duration) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// cancelStream sends the cancel in the background. The slot is freed by done
// only after the engine answered, because until then it may still be working.
// Without an id the closed connection has to do.
func (c *call) cancelStream(host, id string, done func()) {
	if !validStreamID(id) {
		done()
		return
	}
	c.d.stats.cancels.Inc()
	c.d.background.Add(1)
	go func() {
		defer c.d.background.Done()
		defer done()
		ctx, stop := context.WithTimeout(context.Background(), cancelLimit)
		defer stop()
		end := time.Now().Add(cancelLimit)
		m := &message{method: fasthttp.MethodPost, path: "/v1/streams/" + id + "/cancel", host: host}
		x, f := c.d.open(ctx, m, true, bounds{silence: cancelLimit, head: end, hard: end}, nil)
		if f != nil {
			c.d.record("cancel", f.step, c, host, f.Error())
			return
		}
		x.close(false)
	}()
}

// validStreamID accepts what can stand in a path without escaping.
func validStreamID(id string) bool {
	for _, r := range id {
		ok := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.'
		if !ok {
			return false
		}
	}
	return id != "" && len(id) <= 256 && id != "." && id != ".."
}
