package dispatch

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
)

// Reasons why a granted request is not sent.
var (
	errNoLease       = errors.New("this instance has no valid lease")
	errDataCentreOut = errors.New("the target's data centre is out of service")
	errTargetUnknown = errors.New("the target is not in the configuration")
)

// Codes of refusals. Callers depend on the values.
const (
	codeCallerGone           = "caller_gone"
	codeNotReady             = "not_ready"
	codeUnknownPool          = "unknown_pool"
	codeDeadline             = "deadline"
	codeRequestLimit         = "request_limit"
	codeNotStarted           = "not_started"
	codeTargetUnreachable    = "target_unreachable"
	codeTargetFailed         = "target_failed"
	codeTargetSilent         = "target_silent"
	codeAnswerTruncated      = "answer_truncated"
	codeStreamBroken         = "stream_broken"
	codeClaimUnavailable     = "claim_unavailable"
	codeClaimRunning         = "claim_running"
	codeClaimOutcomeTooLarge = "claim_outcome_too_large"
)

// statusClientClosedRequest is recorded for a request whose caller disconnected; it
// is never received by anyone.
const statusClientClosedRequest = 499

// fault is the error of one attempt on one target.
type fault struct {
	code   string
	step   string
	target string
	status int
	// sentBytes is the number of request bytes that may have reached the target.
	sentBytes int64
	// receivedBytes is the number of response bytes read.
	receivedBytes int64
	// reusedConnection reports that the connection had served an earlier request.
	reusedConnection bool
	// noRetry forbids another attempt.
	noRetry bool
	cause   error
}

// Error implements error. The text is recorded in the timeline.
func (f *fault) Error() string {
	return fmt.Sprintf("%s: %s: target %s after %d bytes sent: %v", f.step, f.code, f.target, f.sentBytes, f.cause)
}

// certainlyNotRun reports whether no byte of the request can have reached a target.
func (f *fault) certainlyNotRun() bool { return f.sentBytes == 0 }

// staleConnection reports a failure that is typical of a target that closes an idle
// connection while a request is sent on it.
func (f *fault) staleConnection() bool {
	return f.reusedConnection && f.receivedBytes == 0 && !isTimeout(f.cause) && !isNotStarted(f.cause)
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &ne) && ne.Timeout())
}

// isNotStarted reports whether a check before the first byte failed.
func isNotStarted(err error) bool {
	return errors.Is(err, errNoLease) || errors.Is(err, errDataCentreOut) || errors.Is(err, errTargetUnknown)
}

// classify sets the code and status of a fault from its cause, and noRetry if a
// deadline passed.
func (f *fault) classify(limits timeLimits) *fault {
	deadlinePassed := isTimeout(f.cause) && !time.Now().Before(limits.headerDeadline)
	switch {
	case isNotStarted(f.cause):
		f.code, f.status = codeNotStarted, 503
	case deadlinePassed && limits.headerDeadline.Before(limits.deadline):
		f.code, f.status, f.noRetry = codeDeadline, 504, true
	case deadlinePassed:
		f.code, f.status, f.noRetry = codeRequestLimit, 504, true
	case isTimeout(f.cause) && f.sentBytes > 0:
		f.code, f.status = codeTargetSilent, 504
	case f.sentBytes == 0:
		f.code, f.status = codeTargetUnreachable, 502
	default:
		f.code, f.status = codeTargetFailed, 502
	}
	return f
}

// refusal converts the last fault to a refusal for the caller. The request may
// have run if any attempt sent a byte, not only the last one.
func (c *call) refusal(f *fault) *api.Refusal {
	r := &api.Refusal{
		Code: f.code, Status: f.status, Step: f.step, Peer: f.target,
		Message: "the request failed at the target", Run: c.runState(),
	}
	if f.cause != nil {
		r.Message = f.cause.Error()
	}
	if r.Status >= 500 {
		r.RetryAfter = retryAfter
	}
	return r
}

// runState returns whether the request may have run in any attempt.
func (c *call) runState() api.RunState {
	if c.mayHaveRun {
		return api.RunUnknown
	}
	return api.NotRun
}

// correctRunState returns a refusal by another plug-in with the run state of the
// whole call: that plug-in does not know whether an earlier attempt may have run.
func (c *call) correctRunState(r *api.Refusal) *api.Refusal {
	if !c.mayHaveRun || r.Run == api.RunUnknown {
		return r
	}
	out := *r
	out.Run = api.RunUnknown
	return &out
}

// disconnectRefusal returns the refusal for a disconnected caller.
func (c *call) disconnectRefusal() *api.Refusal {
	return &api.Refusal{
		Code: codeCallerGone, Status: statusClientClosedRequest, Step: "dispatch", Run: c.runState(),
		Message: "the caller closed the connection",
	}
}
