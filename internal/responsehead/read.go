package responsehead

import (
	"bufio"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// maxInterim is the largest number of interim responses before the final one.
const maxInterim = 100

// Read reads the head of the next final response and makes its body readable, as
// resp.ReadLimitBody(r, 0) does. Heads of interim responses are checked and dropped. The error has the
// cause ErrMalformed if a head is malformed; otherwise it is that of r or of fasthttp.
func Read(resp *fasthttp.Response, r *bufio.Reader) error {
	for range maxInterim + 1 {
		interim, err := check(r)
		if err != nil {
			return err
		}
		if !interim {
			return resp.ReadLimitBody(r, 0)
		}
		if err := resp.Header.Read(r); err != nil {
			return err
		}
	}
	return errors.Errorf("more than %d interim responses", maxInterim)
}

// check waits for the next head and checks it without consuming it. It reports whether the head is
// that of an interim response. A head must fit into the buffer of r.
func check(r *bufio.Reader) (interim bool, err error) {
	var s scanner
	for checked := 0; !s.ended(); {
		if r.Buffered() == checked {
			if _, err := r.Peek(checked + 1); err != nil {
				if err == bufio.ErrBufferFull {
					err = errors.Errorf("response head exceeds %d bytes", r.Size())
				}
				return false, err
			}
		}
		buffered, err := r.Peek(r.Buffered())
		if err != nil {
			return false, err
		}
		n, err := s.scan(buffered[checked:])
		if err != nil {
			return false, err
		}
		checked += n
	}
	return s.interim(), nil
}

// DialTimeout implements fasthttp.DialFuncWithTimeout over TCP. Reads of the connection fail with
// ErrMalformed at a malformed head, so a client that uses it returns no such response. A timeout of 0
// stands for that of fasthttp.
func DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 {
		timeout = fasthttp.DefaultDialTimeout
	}
	c, err := fasthttp.DialTimeout(address, timeout)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// conn is the connection of a client that writes a request and then reads its response, one at a
// time. It checks the heads of the responses.
type conn struct {
	net.Conn
	head   scanner
	inHead bool  // the next byte to read belongs to a head
	failed error // returned by all further reads
}

// Write implements net.Conn. A head follows the request that is written.
func (c *conn) Write(p []byte) (int, error) {
	if !c.inHead {
		c.head, c.inHead = scanner{}, true
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn. The well-formed beginning of a malformed head is returned first: fasthttp
// reports an error of a head's first byte as the end of the connection.
func (c *conn) Read(p []byte) (int, error) {
	if c.failed != nil {
		return 0, c.failed
	}
	n, err := c.Conn.Read(p)
	if checked, malformed := c.checkHeads(p[:n]); malformed != nil {
		c.failed = malformed
		if checked == 0 {
			return 0, malformed
		}
		return checked, nil
	}
	return n, err
}

// checkHeads checks the part of b that belongs to heads. With an error it returns the number of bytes
// before the malformed one.
func (c *conn) checkHeads(b []byte) (checked int, err error) {
	for c.inHead && checked < len(b) {
		n, err := c.head.scan(b[checked:])
		checked += n
		if err != nil {
			return checked, err
		}
		if !c.head.ended() {
			break
		}
		c.inHead = c.head.interim()
		c.head = scanner{}
	}
	return checked, nil
}
