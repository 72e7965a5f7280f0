package gateway

import (
	"context"
	"time"

	"nutmegrouter/internal/logqueue"
	"nutmegrouter/internal/settings"
)

const (
	// drainPoll is how often a planned stop looks at the open connections.
	drainPoll = 20 * time.Millisecond
	// rotationTime is how long the balancer may still send new connections after
	// the instance has said that it is not ready: two questions a second apart.
	rotationTime = 2500 * time.Millisecond
	// lastTaken is when a stopping instance takes its last request, or half of its time
	// if that is less. Where the balancer has too few instances it sends callers here to
	// the end, and a stream taken then would be cut; refused, it is served elsewhere.
	lastTaken = 3 * time.Second
	// stopMargin is left of the time after which the process is killed.
	stopMargin = 300 * time.Millisecond
)

// Drain implements kernel.Drainer. Answers ask callers to close; connections are
// accepted until the balancer has taken the instance out of rotation, and requests
// until lastTaken; those under way are served as long as the process may run.
func (g *Gateway) Drain(ctx context.Context) error {
	g.draining.Store(true)
	begin := g.clock.Now()
	limit := settings.Ms(g.kernel.Settings.Routes.Bounds.StopMs) - stopMargin
	closed := false
	for g.clock.Now()-begin < limit {
		if g.clock.Now()-begin >= min(lastTaken, limit/2) && !g.stopping.Swap(true) {
			logqueue.Notice(g.log, "requests refused from now on", "step", "drain")
		}
		if !closed && g.clock.Now()-begin >= rotationTime && g.listener.Quiet() {
			closed = true
			_ = g.listener.Close() // no caller is sent here any more
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
	g.log.Warn("stop with open connections", "step", "drain", "open", open, "busy", busy)
	return nil
}
