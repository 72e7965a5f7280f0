package gateway

import (
	"context"
	"time"

	"nutmegrouter/internal/logqueue"
	"nutmegrouter/internal/settings"
)

const (
	// drainPoll is the interval at which a planned stop checks the open connections.
	drainPoll = 20 * time.Millisecond
	// deregistrationDelay is how long the load balancer may still send new connections
	// after the instance reports that it is not ready: two readiness checks a second apart.
	deregistrationDelay = 2500 * time.Millisecond
	// latestSend is the time after the stop signal from which a request must not be truncated by the exit.
	// It counts from the signal itself to the moment at which the caller sends the request.
	latestSend = 3 * time.Second
	// signalDelay leaves room for the time from the stop signal until Drain runs on a busy instance. The
	// way of a request needs none: it makes the request arrive later.
	signalDelay = 300 * time.Millisecond
	// drainAdmitTime is how long a draining instance still admits any request, or half of
	// the stop time if that is shorter. A load balancer with too few ready instances sends
	// requests until the process exits. A stream admitted late would be truncated; a
	// refused one is retried on another instance. Requests whose deadline ends before the
	// exit are admitted later, too.
	drainAdmitTime = latestSend - signalDelay
	// writeTime is the time for the response to a request that ends at its deadline.
	writeTime = 100 * time.Millisecond
	// lastStart is the time before the return of Drain from which no model request starts on a target: the
	// exit would truncate its stream, and its caller can still repeat it elsewhere.
	lastStart = time.Second
	// stopMargin is the time between the return of Drain and the kill of the process, which counts from
	// the signal. It leaves room for signalDelay.
	stopMargin = 300 * time.Millisecond
)

// stopTime returns the time from the start of Drain until it returns at the latest.
func (g *Gateway) stopTime() time.Duration {
	return settings.Ms(g.kernel.Settings.Routes.Bounds.StopMs) - stopMargin
}

// admissionClosed reports whether a planned stop refuses requests that may outlast it.
func (g *Gateway) admissionClosed() bool {
	return g.stopBegin.Load() != nil && g.sinceStop() >= min(drainAdmitTime, g.stopTime()/2)
}

// sinceStop returns the time since the start of a planned stop. A suspension of the machine counts,
// because the process is killed all the same.
func (g *Gateway) sinceStop() time.Duration { return g.readClocks().Since(*g.stopBegin.Load()) }

// endsBeforeStop reports whether a request with this deadline, on the kernel clock, ends before a
// planned stop does.
func (g *Gateway) endsBeforeStop(deadline time.Duration) bool {
	return deadline-g.clock.Now()+writeTime <= g.stopTime()-g.sinceStop()
}

// Drain implements kernel.Drainer. It reports the instance as not ready and asks callers
// to close their connections. Requests that may outlast the stop are admitted for
// drainAdmitTime, others as long as they end before it; those that wait for a target
// lastStart before the end are refused. Connections are accepted for deregistrationDelay,
// and longer while new ones arrive. Drain returns nil once all connections are closed or
// the stop time is over, and the context's error if that ends first.
func (g *Gateway) Drain(ctx context.Context) error {
	now := g.readClocks()
	g.stopBegin.CompareAndSwap(nil, &now)
	g.draining.Store(true)
	begin := g.clock.Now()
	refusing, waitingRefused, closed := false, false, false
	for g.clock.Now()-begin < g.stopTime() {
		if !refusing && g.admissionClosed() {
			refusing = true
			logqueue.Notice(g.log, "refusing requests that may outlast the stop", "step", "drain")
		}
		if !waitingRefused && g.clock.Now()-begin >= g.stopTime()-lastStart {
			waitingRefused = true
			g.forwarder.RefuseWaiting(stoppingRefusal())
		}
		if !closed && g.clock.Now()-begin >= deregistrationDelay && g.listener.NoRecentAccept() {
			closed = true
			_ = g.listener.Close() // the balancer sends no more connections
			logqueue.Notice(g.log, "listener closed", "step", "drain")
		}
		if closed {
			g.conns.CloseIdle()
			if open, _ := g.conns.Count(); open == 0 {
				logqueue.Notice(g.log, "all requests served", "step", "drain")
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPoll):
		}
	}
	open, busy := g.conns.Count()
	g.log.Warn("stopping with open connections", "step", "drain", "open", open, "busy", busy)
	return nil
}
