package dispatch

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
)

// Reasons for which a granted request is not started.
var (
	errNoLease       = errors.New("this instance has no valid lease")
	errTargetOut     = errors.New("the target's data centre is out of service")
	errTargetUnknown = errors.New("the target is not in the configuration")
)

// Codes of refusals. They are stable words for callers.
const (
	codeGone        = "caller_gone"
	codeNotReady    = "not_ready"
	codeUnknownPool = "unknown_pool"
	codeDeadline    = "deadline"
	codeLimit       = "request_limit"
	codeNotStarted  = "not_started"
	codeUnreachable = "target_unreachable"
	codeFailed      = "target_failed"
	codeSilent      = "target_silent"
	codeTruncated   = "answer_truncated"
	codeBroken      = "stream_broken"
	codeClaim       = "claim_unavailable"
	codeClaimBusy   = "claim_running"
	codeClaimLarge  = "claim_outcome_too_large"
)

// statusGone is the status of requests whose caller went away; nobody reads it.
const statusGone = 499

// fault is the failure of one attempt on one target.
type fault struct {
	code   string
	step   string
	target string
	status int
	// sent is the number of request bytes that may have reached the target.
	sent int64
	// received is the number of answer bytes read.
	received int64
	// reused reports that the connection had served an earlier request.
	reused bool
	// final forbids another attempt.
	final bool
	cause error
}

// Error implements error.
func (f *fault) Error() string {
	return fmt.Sprintf("%s: %s: target %s after %d bytes sent: %v", f.step, f.code, f.target, f.sent, f.cause)
}

// certainlyNotRun reports that no byte of the request can have reached a target.
func (f *fault) certainlyNotRun() bool { return f.sent == 0 }

// stale reports a failure that a target causes when it closes an idle
// connection at the moment a request is sent on it.
func (f *fault) stale() bool {
	return f.reused && f.received == 0 && !isTimeout(f.cause) && !notStarted(f.cause)
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &ne) && ne.Timeout())
}

func notStarted(err error) bool {
	return errors.Is(err, errNoLease) || errors.Is(err, errTargetOut) || errors.Is(err, errTargetUnknown)
}

// classify sets the code and status of a fault from its cause.
func (f *fault) classify(b bounds) *fault {
	late := isTimeout(f.cause) && !time.Now().Before(b.head)
	switch {
	case notStarted(f.cause):
		f.code, f.status = codeNotStarted, 503
	case late && b.head.Before(b.hard):
		f.code, f.status, f.final = codeDeadline, 504, true
	case late:
		f.code, f.status, f.final = codeLimit, 504, true
	case isTimeout(f.cause) && f.sent > 0:
		f.code, f.status = codeSilent, 504
	case f.sent == 0:
		f.code, f.status = codeUnreachable, 502
	default:
		f.code, f.status = codeFailed, 502
	}
	return f
}

// refusal turns the last fault into the answer for the caller. The request may
// have been run if any attempt sent a byte, not only the last one.
func (c *call) refusal(f *fault) *api.Refusal {
	r := &api.Refusal{
		Code: f.code, Status: f.status, Step: f.step, Peer: f.target,
		Message: "the request failed at the target", Run: c.runState(),
	}
	if f.cause != nil {
		r.Message = f.cause.Error()
	}
	if r.Status >= 500 {
		r.RetryAfter = retryAdvice
	}
	return r
}

func (c *call) runState() api.RunState {
	if c.touched {
		return api.RunUnknown
	}
	return api.NotRun
}

// amend corrects the run state of a refusal that another plug-in made for a
// later attempt of a request that an earlier attempt may have run.
func (c *call) amend(r *api.Refusal) *api.Refusal {
	if !c.touched || r.Run == api.RunUnknown {
		return r
	}
	out := *r
	out.Run = api.RunUnknown
	return &out
}

func (c *call) gone() *api.Refusal {
	return &api.Refusal{
		Code: codeGone, Status: statusGone, Step: "dispatch", Run: c.runState(),
		Message: "the caller closed the connection",
	}
}
