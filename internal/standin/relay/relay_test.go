package relay

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against faults that the relay does not produce, which would make the
// tests that rely on them pass for nothing.
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
	// answers reports whether a byte returns within the limit.
	answers := func(c net.Conn, limit time.Duration) bool {
		_, _ = c.Write([]byte("x"))
		_ = c.SetReadDeadline(time.Now().Add(limit))
		_, err := io.ReadFull(c, make([]byte, 1))
		return err == nil
	}
	const long, short = 10 * time.Second, 100 * time.Millisecond
	c := dial()
	defer c.Close()
	is.True(answers(c, long))
	for _, d := range []Direction{ToTarget, ToClient, Both} {
		r.Cut(d)
		is.True(!answers(c, short))
		r.Heal()
		is.True(answers(c, long)) // the byte held back
		_, err = io.ReadFull(c, make([]byte, 1))
		is.NoErr(err)
	}
	r.Delay(50 * time.Millisecond)
	begin := time.Now()
	is.True(answers(c, long))
	is.True(time.Since(begin) >= 100*time.Millisecond) // both ways
	r.Delay(0)
	r.Silence()
	is.True(!answers(c, short))
	second := dial()
	defer second.Close()
	is.True(answers(second, long)) // new connections work
	r.Down()
	is.True(!answers(second, long)) // closed
	r.Heal()
	third := dial()
	defer third.Close()
	is.True(answers(third, long))
	is.Equal(r.Opened(), 3)
}
