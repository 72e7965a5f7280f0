package entry

import (
	"context"
	"time"

	"nutmegrouter/internal/kernel"
)

// drainPoll is how often a planned stop looks at the open connections.
const drainPoll = 20 * time.Millisecond

// Drain implements kernel.Drainer. The listener goes on accepting for the grace
// time, because the load balancer needs time to react. Answers ask callers to
// close, requests under way and requests on open connections are served, and
// idle connections are closed at the end of the grace time.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.record("drain", "accepting for the grace time")
	if err := wait(ctx, s.grace); err != nil {
		return err
	}
	if err := s.awaitQuiet(ctx); err != nil {
		return err
	}
	s.listener.Close()
	s.record("drain", "listener closed")
	for {
		s.conns.CloseIdle()
		if open, _ := s.conns.Count(); open == 0 {
			s.record("drain", "all requests served")
			return nil
		}
		if err := wait(ctx, drainPoll); err != nil {
			return err
		}
	}
}

// awaitQuiet waits until no connection has arrived for a while, at most for the
// grace time.
func (s *Server) awaitQuiet(ctx context.Context) error {
	for end := time.Now().Add(s.grace); time.Now().Before(end) && !s.listener.Quiet(); {
		if err := wait(ctx, drainPoll); err != nil {
			return err
		}
	}
	return nil
}

// Cleanup implements kernel.Cleaner.
func (s *Server) Cleanup() error {
	if s.listener != nil {
		s.listener.Close()
		s.conns.CloseAll()
	}
	return nil
}

func (s *Server) record(step, detail string) {
	s.events.Record(kernel.Event{Kind: "entry", Step: step, Detail: detail})
}

func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
