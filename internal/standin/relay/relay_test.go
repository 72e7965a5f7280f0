package relay

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against faults that the relay does not inject, with which the tests that rely on
// them would pass without testing anything.
func TestFaults(t *testing.T) {
	is := is.New(t)
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer echo.Close()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	r, err := New(echo.Addr().String())
	is.NoErr(err)
	defer r.Close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", r.Addr())
		is.NoErr(err)
		return c
	}
	// answers reports whether a byte sent to the echo server returns within the limit.
	echoes := func(c net.Conn, limit time.Duration) bool {
		_, _ = c.Write([]byte("x"))
		_ = c.SetReadDeadline(time.Now().Add(limit))
		_, err := io.ReadFull(c, make([]byte, 1))
		return err == nil
	}
	const long, short = 10 * time.Second, 100 * time.Millisecond
	c := dial()
	defer c.Close()
	is.True(echoes(c, long))
	for _, d := range []Direction{ToTarget, ToClient, Both} {
		r.Cut(d)
		is.True(!echoes(c, short))
		r.Heal()
		is.True(echoes(c, long)) // the byte sent during the cut
		_, err = io.ReadFull(c, make([]byte, 1))
		is.NoErr(err)
	}
	r.Delay(50 * time.Millisecond)
	begin := time.Now()
	is.True(echoes(c, long))
	is.True(time.Since(begin) >= 100*time.Millisecond) // 50 ms in each direction
	r.Delay(0)
	r.Silence()
	is.True(!echoes(c, short))
	second := dial()
	defer second.Close()
	is.True(echoes(second, long)) // new connections work
	r.Down()
	is.True(!echoes(second, long)) // closed
	r.Heal()
	third := dial()
	defer third.Close()
	is.True(echoes(third, long))
	is.Equal(r.Accepted(), 3)
}
