package entry

import (
	"context"
	"time"

	"nutmegrouter/internal/kernel"
)

// drainPoll is the interval at which a planned stop checks the open connections.
const drainPoll = 20 * time.Millisecond

// Drain implements kernel.Drainer. Responses ask callers to close their connections. The
// listener accepts for the grace time, because the load balancer needs time to react,
// and up to as long again while connections still arrive. Then idle connections are
// closed, and requests in progress or on open connections are served. Drain returns nil
// once all connections are closed, or the context's error.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.recordEvent("drain", "accepting for the grace time")
	if err := sleep(ctx, s.stopGrace); err != nil {
		return err
	}
	if err := s.waitForNoNewConnections(ctx); err != nil {
		return err
	}
	s.listener.Close()
	s.recordEvent("drain", "listener closed")
	for {
		s.conns.CloseIdle()
		if open, _ := s.conns.Count(); open == 0 {
			s.recordEvent("drain", "all requests served")
			return nil
		}
		if err := sleep(ctx, drainPoll); err != nil {
			return err
		}
	}
}

// waitForNoNewConnections waits until no connection has arrived for a while, at most for
// the grace time.
func (s *Server) waitForNoNewConnections(ctx context.Context) error {
	for end := time.Now().Add(s.stopGrace); time.Now().Before(end) && !s.listener.NoRecentAccept(); {
		if err := sleep(ctx, drainPoll); err != nil {
			return err
		}
	}
	return nil
}

// Cleanup implements kernel.Cleaner. It closes the listener and all connections.
func (s *Server) Cleanup() error {
	if s.listener != nil {
		s.listener.Close()
		s.conns.CloseAll()
	}
	return nil
}

// recordEvent adds an event of kind "entry" to the timeline.
func (s *Server) recordEvent(step, detail string) {
	s.events.Record(kernel.Event{Kind: "entry", Step: step, Detail: detail})
}

// sleep waits for a time, or returns the context's error if it ends first.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
