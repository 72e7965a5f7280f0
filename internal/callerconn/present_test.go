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

// Guards against closing a connection whose next request waits unread on a busy
// instance: the caller would lose a request that it has sent whole.
func TestIdleConnectionWithBytesStays(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	nc, err := l.Accept()
	is.NoErr(err)
	tracker := NewTracker(nil, nil)
	c := tracker.add(nc)
	c.since = time.Now().Add(-time.Minute)
	_, err = caller.Write([]byte("GET"))
	is.NoErr(err)
	time.Sleep(10 * time.Millisecond)
	tracker.CloseIdle()
	open, _ := tracker.Count()
	is.Equal(open, 1)
	buf := make([]byte, 8)
	n, err := c.Read(buf)
	is.NoErr(err)
	is.Equal(string(buf[:n]), "GET")
}

// Guards against serving a request that was read while its connection was being
// closed: its answer could not be sent.
func TestClosingConnectionDropsRequest(t *testing.T) {
	is := is.New(t)
	here, there := net.Pipe()
	c := NewTracker(nil, nil).add(here)
	go func() { _, _ = there.Write([]byte("GET")) }()
	c.closed = true
	n, err := c.Read(make([]byte, 8))
	is.Equal(n, 0)
	is.True(err != nil)
}
