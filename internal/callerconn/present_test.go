package callerconn

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against reporting a disconnected caller as connected because no goroutine has read
// its connection yet.
func TestConnectedDetectsDisconnect(t *testing.T) {
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
	is.True(c.Connected())
	_, err = caller.Write([]byte("more"))
	is.NoErr(err)
	time.Sleep(10 * time.Millisecond)
	is.True(c.Connected()) // unread bytes do not mean a disconnect
	buf := make([]byte, 4)
	_, err = nc.Read(buf)
	is.NoErr(err)
	caller.Close()
	for begin := time.Now(); c.Connected(); time.Sleep(time.Millisecond) {
		is.True(time.Since(begin) < 5*time.Second)
	}
}

// Guards against closing a connection whose next request has not been read yet because the
// instance is busy: the caller would lose a request that it has sent completely.
func TestIdleConnectionWithUnreadBytesStaysOpen(t *testing.T) {
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
	c.stateSince = time.Now().Add(-time.Minute)
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

// Guards against serving a request that is read while its connection is being closed: its
// response could not be sent.
func TestRequestReadWhileClosingIsNotServed(t *testing.T) {
	is := is.New(t)
	server, client := net.Pipe()
	c := NewTracker(nil, nil).add(server)
	go func() { _, _ = client.Write([]byte("GET")) }()
	c.closed = true
	n, err := c.Read(make([]byte, 8))
	is.Equal(n, 0)
	is.True(err != nil)
}
