package main

import (
	"fmt"
	"io"
	"net"
	"regexp"
	"sync"
	"time"
)

// meshProxy stands between the control machines and those that connect to them. It holds the
// bytes between machines that cannot reach each other, as a network does that drops packets:
// the sender's bytes arrive after the cut, unless the sender has reset its connection.
type meshProxy struct {
	d   *deployment
	rec *record

	mu  sync.Mutex
	cut func(from, to *node) bool // nil = none
}

// setCut sets between which machines nothing passes; nil = all can reach each other.
func (p *meshProxy) setCut(f func(from, to *node) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = f
}

func (p *meshProxy) isCut(from, to *node) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut != nil && from != nil && (p.cut(from, to) || p.cut(to, from))
}

func (p *meshProxy) listen(to *node) error {
	l, err := net.Listen("tcp", to.address(meshPort))
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c, to)
		}
	}()
	return nil
}

// hello finds the sender's name in the first message of a connection.
var hello = regexp.MustCompile(`"instance":"([^"]+)"`)

// serve forwards one connection. The sender says its mesh address in its first message.
func (p *meshProxy) serve(c net.Conn, to *node) {
	defer c.Close()
	first := make([]byte, 64<<10)
	n, err := c.Read(first)
	if err != nil {
		return
	}
	var from *node
	if m := hello.FindSubmatch(first[:n]); m != nil {
		for _, f := range p.d.machines() {
			if fmt.Sprintf("%s:%d", f.ip, meshPort) == string(m[1]) || f.name == string(m[1]) {
				from = f
			}
		}
	}
	if from == nil {
		p.rec.printf("proxy: connection to %s from an unknown machine: %q", to.name, first[:min(n, 120)])
	}
	if p.isCut(from, to) {
		_, _ = io.Copy(io.Discard, c) // a connection that is opened during the cut is never established
		return
	}
	s, err := net.Dial("tcp", to.address(innerMeshPort))
	if err != nil {
		return
	}
	defer s.Close()
	if _, err := s.Write(first[:n]); err != nil {
		return
	}
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); p.forward(c, s, from, to) }()
	go func() { defer wg.Done(); p.forward(s, c, from, to) }()
	wg.Wait()
}

// forward copies one direction in order. What arrives during a cut waits for its end, and so does the
// end of the connection.
func (p *meshProxy) forward(src, dst net.Conn, from, to *node) {
	type chunk struct {
		b   []byte
		end error
	}
	queue := make(chan chunk, 4096)
	go func() {
		for {
			buf := make([]byte, 32<<10)
			n, err := src.Read(buf)
			queue <- chunk{buf[:n], err}
			if err != nil {
				return
			}
		}
	}()
	for c := range queue {
		for p.isCut(from, to) {
			time.Sleep(5 * time.Millisecond)
		}
		if len(c.b) > 0 {
			if _, err := dst.Write(c.b); err != nil {
				src.Close()
				return
			}
		}
		if c.end != nil {
			if t, ok := dst.(*net.TCPConn); ok && c.end == io.EOF {
				_ = t.CloseWrite()
				return
			}
			dst.Close()
			return
		}
	}
}
