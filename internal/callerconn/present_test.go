package callerconn

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a caller that has left and is still taken for present because no
// goroutine has read its connection yet.
func TestPresent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	nc, err := l.Accept()
	is.NoErr(err)
	defer nc.Close()
	c := NewTracker(nil, nil).add(nc)
	is.True(c.Present())
	_, err = caller.Write([]byte("more"))
	is.NoErr(err)
	time.Sleep(10 * time.Millisecond)
	is.True(c.Present()) // bytes that wait are no end
	buf := make([]byte, 4)
	_, err = nc.Read(buf)
	is.NoErr(err)
	caller.Close()
	for begin := time.Now(); c.Present(); time.Sleep(time.Millisecond) {
		is.True(time.Since(begin) < 5*time.Second)
	}
}
