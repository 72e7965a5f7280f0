package standin

import (
	"encoding/json"
	"io"
	"time"

	"github.com/valyala/fasthttp"
)

// CallRequest is what a plain service reads of a request body, if it is JSON.
type CallRequest struct {
	// User is the request tag under which the run is recorded.
	User string `json:"user"`
	// WorkMs is the service time; 0 = the target's default.
	WorkMs int `json:"work_ms"`
	// AnswerBytes is the least size of the response; 0 = one token.
	AnswerBytes int `json:"answer_bytes"`
}

const maxAnswer = 16 << 20 // bytes

// serveCall answers any path of a plain service.
func (t *target) serveCall(ctx *fasthttp.RequestCtx) {
	body := append([]byte(nil), ctx.PostBody()...)
	var r CallRequest
	_ = json.Unmarshal(body, &r) // other bodies are fine too
	w := t.begin(ctx, r.User, false)
	if w == nil {
		return
	}
	if t.faults.isOn(FaultSilentAfter) {
		t.hold(ctx, w)
		return
	}
	if !t.workFor(r.WorkMs, w) {
		drop(ctx)
		return
	}
	t.answerCall(ctx, w, ServiceBody(body, min(r.AnswerBytes, maxAnswer)))
}

func (t *target) answerCall(ctx *fasthttp.RequestCtx, w *work, answer []byte) {
	t.stateHeaders(ctx)
	ctx.SetContentType("application/json")
	if t.faults.sent(1) {
		// The head promises the whole length, the body stops half way.
		ctx.Response.ImmediateHeaderFlush = true
		ctx.Response.SetBodyStream(&cutReader{t: t, half: answer[:len(answer)/2]}, len(answer))
		return
	}
	t.gate.finish(w, endComplete)
	ctx.SetBody(answer)
}

// workFor takes the service time and reports false if the work was ended.
func (t *target) workFor(ms int, w *work) bool {
	if ms <= 0 {
		ms = t.spec.ServiceMs
	}
	timer := time.NewTimer(time.Duration(float64(ms) * t.faults.slowness() * float64(time.Millisecond)))
	defer timer.Stop()
	select {
	case <-w.cancel:
		return false
	case <-timer.C:
		return true
	}
}

// cutReader gives half of a response and then fails the target.
type cutReader struct {
	t    *target
	half []byte
}

// Read implements io.Reader.
func (r *cutReader) Read(p []byte) (int, error) {
	if len(r.half) == 0 {
		r.t.restart()
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(p, r.half)
	r.half = r.half[n:]
	return n, nil
}
