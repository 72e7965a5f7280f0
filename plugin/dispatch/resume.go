package dispatch

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/sse"
)

// Limits of resumes and cancels.
const (
	// maxResumes bounds the resumes in a row without a delivered event. With backoff they
	// take about 3 s, the time of a takeover.
	maxResumes    = 7
	resumeBackoff = 50 * time.Millisecond // doubled for each further attempt
	cancelTimeout = 2 * time.Second       // of one cancel request
)

var errNotResumable = errors.New("the engine cannot resume the stream")

// resume reopens a broken stream after the last delivered event and reports
// whether it succeeded. It sends the request again, so a non-idempotent one is never
// resumed: an engine without support for resume would run it a second time.
func (r *streamResponse) resume(cause error) bool {
	r.closeExchange()
	if r.call.req.NonIdempotent || r.streamID == "" || !r.sequencer.resumable() {
		return false
	}
	if r.deliveredSinceResume {
		r.resumesWithoutProgress, r.deliveredSinceResume = 0, false
	}
	for r.resumesWithoutProgress < maxResumes && time.Now().Before(r.deadline) && r.call.ctx.Err() == nil {
		if r.resumesWithoutProgress > 0 && !r.call.sleep(resumeBackoff<<(r.resumesWithoutProgress-1)) {
			return false
		}
		r.resumesWithoutProgress++
		r.call.stats.resumes.Inc()
		err := r.resumeOnce()
		r.call.d.recordEvent("resume", "stream", r.call, r.attempt.grant.Target, resumeDetail(cause, r.sequencer.lastDelivered, err))
		if err == nil {
			return true
		}
		if errors.Is(err, errNotResumable) {
			return false
		}
	}
	return false
}

// resumeDetail describes a resume for the timeline; err is its failure or nil.
func resumeDetail(cause error, last uint64, err error) string {
	s := "after event " + strconv.FormatUint(last, 10) + ": " + cause.Error()
	if err != nil {
		s += ": " + err.Error()
	}
	return s
}

// resumeOnce makes one attempt to resume. The error is errNotResumable if further
// ones cannot succeed.
func (r *streamResponse) resumeOnce() error {
	c := r.call
	m := c.targetRequest(r.attempt.grant)
	m.extraHeaders = [][2]string{
		{"X-Resume-Id", r.streamID},
		{"Last-Event-ID", strconv.FormatUint(r.sequencer.lastDelivered, 10)},
	}
	limits := timeLimits{ioTimeout: c.pool.SilenceLimit(), headerDeadline: r.deadline, deadline: r.deadline}
	x, f := c.d.open(c.ctx, m, true, limits, c.d.checkResume)
	if f != nil {
		return f
	}
	if err := r.checkResumed(x); err != nil {
		x.close(false)
		return err
	}
	r.exchange = x
	r.reader = sse.NewReader(readFunc(x.read), c.d.eventMemory)
	r.sequencer.dropEarly()
	r.lastEventAt = time.Now()
	return nil
}

// checkResumed returns an error unless the engine resumed the stream. If the engine
// started a new stream instead, that stream is cancelled, because its events do not
// continue the interrupted response.
func (r *streamResponse) checkResumed(x *exchange) error {
	status, state := x.resp.StatusCode(), x.targetState()
	if status == fasthttp.StatusOK && state.streamID == r.streamID && isEventStream(x) {
		r.attempt.warmth = state.warmth
		return nil
	}
	if state.streamID != "" && state.streamID != r.streamID {
		r.call.cancelStream(r.attempt.grant.Address, state.streamID, func() {})
		return errors.WithMessage(errNotResumable, "it began another stream")
	}
	if status == fasthttp.StatusTooManyRequests || status >= fasthttp.StatusInternalServerError {
		return statusError(status)
	}
	return errors.WithMessage(errNotResumable, "status "+strconv.Itoa(status))
}

// sleep waits. It returns false at once if the caller disconnects.
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

// cancelStream cancels a stream at the engine in the background. It calls done,
// which frees the engine's slot, only after the engine responded or the request
// failed, because until then the engine may still be working. Without a valid id it
// calls done at once: closing the connection is then the only signal.
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
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		end := time.Now().Add(cancelTimeout)
		m := &targetRequest{method: fasthttp.MethodPost, path: "/v1/streams/" + id + "/cancel", host: host}
		x, f := c.d.open(ctx, m, true, timeLimits{ioTimeout: cancelTimeout, headerDeadline: end, deadline: end}, nil)
		if f != nil {
			c.d.recordEvent("cancel", f.step, c, host, f.Error())
			return
		}
		x.close(false)
	}()
}

// validStreamID reports whether an id is a valid path segment without escaping.
func validStreamID(id string) bool {
	for _, r := range id {
		ok := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.'
		if !ok {
			return false
		}
	}
	return id != "" && len(id) <= 256 && id != "." && id != ".."
}
