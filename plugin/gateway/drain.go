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
	// drainAdmitTime is how long a draining instance still admits all requests, or half of
	// the stop time if that is shorter. A load balancer with too few ready instances sends
	// requests until the process exits. From then on only requests are admitted whose
	// deadline is before the end of the stop time: a stream admitted later would be
	// truncated; a refused one is retried on another instance.
	drainAdmitTime = 3 * time.Second
	// stopMargin is the time between the return of Drain and the kill of the process.
	stopMargin = 300 * time.Millisecond
)

// Drain implements kernel.Drainer. It reports the instance as not ready and asks callers
// to close their connections. All requests are admitted for drainAdmitTime, afterwards those
// that end in time. Connections are accepted until all are closed: a load balancer that finds
// too few instances ready sends connections to the others as well, at any time. Drain returns
// nil once no connection has come for a while after deregistrationDelay and all are closed, or
// once the stop time is over, and the context's error if that ends first.
func (g *Gateway) Drain(ctx context.Context) error {
	g.draining.Store(true)
	begin := g.clock.Now()
	limit := settings.Ms(g.kernel.Settings.Routes.Bounds.StopMs) - stopMargin
	for g.clock.Now()-begin < limit {
		elapsed := g.clock.Now() - begin
		if elapsed >= min(drainAdmitTime, limit/2) && g.stopAt.CompareAndSwap(0, int64(begin+limit)) {
			logqueue.Notice(g.log, "refusing requests that end too late", "step", "drain")
		}
		if elapsed >= deregistrationDelay && g.listener.NoRecentAccept() {
			g.conns.CloseIdle()
			if open, _ := g.conns.Count(); open == 0 {
				_ = g.listener.Close() // the balancer sends no more connections
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

// endsTooLate reports whether a request may end only after a planned stop.
func (g *Gateway) endsTooLate(deadline time.Duration) bool {
	stopAt := g.stopAt.Load()
	return stopAt != 0 && deadline > time.Duration(stopAt)
}
