package standin

import (
	"encoding/json"
	"io"
	"time"

	"github.com/valyala/fasthttp"
)

// ServiceRequest holds the fields of a request body that a plain service reads, if the
// body is JSON.
type ServiceRequest struct {
	// User is the request tag under which GET /runs counts the request.
	User string `json:"user"`
	// WorkMs is the service time in ms; 0 = the ServiceMs of the target.
	WorkMs int `json:"work_ms"`
	// ResponseBytes is the minimum size of the response in bytes; 0 = one token.
	ResponseBytes int `json:"answer_bytes"`
}

const maxResponseBytes = 16 << 20

// serveCall handles a request to any path of a plain service.
func (t *target) serveCall(ctx *fasthttp.RequestCtx) {
	body := append([]byte(nil), ctx.PostBody()...)
	var r ServiceRequest
	_ = json.Unmarshal(body, &r) // the body may have any other format
	w := t.startWork(ctx, r.User, false)
	if w == nil {
		return
	}
	if t.faults.isActive(FaultSilentAfter) {
		t.holdResponse(ctx, w)
		return
	}
	if !t.simulateWork(r.WorkMs, w) {
		abort(ctx)
		return
	}
	t.respondToCall(ctx, w, ServiceBody(body, min(r.ResponseBytes, maxResponseBytes)))
}

// respondToCall sends the response, or the first half of it if a crash is due.
func (t *target) respondToCall(ctx *fasthttp.RequestCtx, w *work, response []byte) {
	t.setStateHeaders(ctx)
	ctx.SetContentType("application/json")
	if t.faults.countEvents(1) {
		// The Content-Length is that of the whole response, the body ends half way.
		ctx.Response.ImmediateHeaderFlush = true
		ctx.Response.SetBodyStream(&truncatedReader{target: t, remaining: response[:len(response)/2]}, len(response))
		return
	}
	t.admission.finish(w, outcomeCompleted)
	ctx.SetBody(response)
}

// simulateWork waits for ms milliseconds of service time, or for ServiceMs if ms is not
// positive. It returns false if the work was ended meanwhile.
func (t *target) simulateWork(ms int, w *work) bool {
	if ms <= 0 {
		ms = t.spec.ServiceMs
	}
	timer := time.NewTimer(time.Duration(float64(ms) * t.faults.slowFactor() * float64(time.Millisecond)))
	defer timer.Stop()
	select {
	case <-w.cancel:
		return false
	case <-timer.C:
		return true
	}
}

// truncatedReader returns the first half of a response and then restarts the target.
type truncatedReader struct {
	target    *target
	remaining []byte
}

// Read implements io.Reader.
func (r *truncatedReader) Read(p []byte) (int, error) {
	if len(r.remaining) == 0 {
		r.target.restart()
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(p, r.remaining)
	r.remaining = r.remaining[n:]
	return n, nil
}
