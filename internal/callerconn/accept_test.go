package callerconn

import (
	"net"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// floodListener has a new connection ready at any time.
type floodListener struct{ net.Listener }

func (floodListener) Accept() (net.Conn, error) {
	c, _ := net.Pipe()
	return c, nil
}

// Guards against a flood of connections that is accepted in one turn: the requests under way on
// the instance then wait until hundreds of new ones have been read and refused.
func TestFloodIsAcceptedInTurns(t *testing.T) {
	is := is.New(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const (
		turns    = 20
		maxTurns = 3 // the scheduler of the race detector chooses at random among ready goroutines
	)
	l := NewTracker(nil, nil).Listen(floodListener{})
	var stop atomic.Bool
	var turnsOfOther atomic.Int64
	done := make(chan struct{})
	go func() { // a request under way; both goroutines run on one processor
		defer close(done)
		for !stop.Load() {
			turnsOfOther.Add(1)
			runtime.Gosched()
		}
	}()
	runtime.Gosched()
	longest, sinceTurn, seen := 0, 0, turnsOfOther.Load()
	for range turns * acceptsPerYield {
		c, err := l.Accept()
		is.NoErr(err)
		is.NoErr(c.Close())
		if now := turnsOfOther.Load(); now != seen {
			seen, sinceTurn = now, 0
		}
		sinceTurn++
		longest = max(longest, sinceTurn)
	}
	stop.Store(true)
	<-done
	t.Logf("at most %d accepted connections between two turns of another goroutine", longest)
	is.True(longest <= maxTurns*acceptsPerYield)
}
