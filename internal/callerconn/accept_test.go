package callerconn

import (
	"net"
	"runtime"
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
	const turns = 20
	l := NewTracker(nil, nil).Listen(floodListener{})
	stop, turnsOfOther := false, 0
	done := make(chan struct{})
	go func() { // a request under way; both goroutines run on one processor
		defer close(done)
		for !stop {
			turnsOfOther++
			runtime.Gosched()
		}
	}()
	runtime.Gosched()
	before := turnsOfOther
	for range turns * acceptsPerYield {
		c, err := l.Accept()
		is.NoErr(err)
		is.NoErr(c.Close())
	}
	turnsDuring := turnsOfOther - before
	stop = true
	<-done
	t.Logf("%d turns of another goroutine during %d accepted connections", turnsDuring, turns*acceptsPerYield)
	is.True(turnsDuring >= turns-1)
}
