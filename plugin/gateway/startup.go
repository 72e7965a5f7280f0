package gateway

import (
	"sync"
	"time"
)

// startupWait is how long after its start an instance lets requests wait for its first
// configuration and list of targets. After a loss of all power, a fleet needs an election and
// the fetch of one view; a refused caller that retries meanwhile is refused again.
const startupWait = time.Second

// maxWaitShare is the largest part of a request's deadline that it waits for the configuration.
// The rest is enough for an attempt at another instance.
const maxWaitShare = 0.5

// startup lets requests wait while the instance is about to become able to serve. The zero value
// must be initialised with begin.
type startup struct {
	startedAt time.Duration // on the kernel clock
	done      chan struct{} // closed when the instance can serve
	once      sync.Once
}

func (s *startup) begin(now time.Duration) { s.startedAt, s.done = now, make(chan struct{}) }

// end releases all waiting requests. Further calls have no effect.
func (s *startup) end() { s.once.Do(func() { close(s.done) }) }

// wait blocks until the instance can serve, at most until startupWait after its start or for
// maxWaitShare of the request's deadline (0 = none).
func (s *startup) wait(deadline, now time.Duration) {
	select {
	case <-s.done:
		return
	default:
	}
	limit := s.startedAt + startupWait - now
	if deadline > 0 {
		limit = min(limit, time.Duration(maxWaitShare*float64(deadline)))
	}
	if limit <= 0 {
		return
	}
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-s.done:
	case <-t.C:
	}
}

// endStartup ends the wait for the first configuration once requests can be placed.
func (g *Gateway) endStartup() {
	if g.table.Load() != nil && g.directory.Loaded() {
		g.startup.end()
	}
}
