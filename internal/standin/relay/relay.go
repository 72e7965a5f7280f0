// Package relay is a TCP relay for tests. It stands between two instances, or
// an instance and a target, and produces the faults of a network: cuts in one
// or both directions, connections that go silent, and delay.
package relay

import (
	"net"
	"sync"
	"time"
)

// Direction selects the bytes that a fault affects.
type Direction int

// Directions of bytes.
const (
	ToTarget Direction = 1 << iota // from the dialling side to the target
	ToClient                       // from the target to the dialling side
	Both     = ToTarget | ToClient
)

// chunkSize is the size of one forwarded read in bytes.
const chunkSize = 32 << 10

// Relay forwards TCP connections to a target. All methods are safe for
// concurrent use.
type Relay struct {
	listener net.Listener
	wg       sync.WaitGroup

	mu     sync.Mutex
	target string
	cut    Direction // bytes of these directions are held back
	down   bool      // connections are closed and refused
	delay  time.Duration
	conns  map[*pair]bool
	opened int
	wake   chan struct{} // closed and replaced on every change
	closed bool
}

// pair is one forwarded connection.
type pair struct {
	client, server net.Conn
	silent         bool // no byte passes any more, the connection stays open
}

func (p *pair) close() {
	_ = p.client.Close()
	if p.server != nil {
		_ = p.server.Close()
	}
}

// New listens on a free port of the loopback address. The target may be set
// later with SetTarget.
func New(target string) (*Relay, error) { return NewAt("127.0.0.1:0", target) }

// NewAt listens on a given address.
func NewAt(address, target string) (*Relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, conns: map[*pair]bool{}, wake: make(chan struct{})}
	r.wg.Add(1)
	go r.accept()
	return r, nil
}

// Addr returns the address to dial.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetTarget changes the target of new connections.
func (r *Relay) SetTarget(address string) { r.change(func() { r.target = address }) }

// Cut holds back all bytes of a direction, on open and new connections, until
// Heal. Connections stay open, as in a partition that drops packets.
func (r *Relay) Cut(d Direction) { r.change(func() { r.cut |= d }) }

// Down closes all connections and refuses new ones until Heal.
func (r *Relay) Down() {
	r.change(func() {
		r.down = true
		for p := range r.conns {
			p.close()
		}
	})
}

// Heal ends Cut and Down. Bytes held back are then forwarded; connections made
// silent stay so.
func (r *Relay) Heal() { r.change(func() { r.cut, r.down = 0, false }) }

// Silence makes the open connections silent for good. New ones work.
func (r *Relay) Silence() {
	r.change(func() {
		for p := range r.conns {
			p.silent = true
		}
	})
}

// Delay delays every chunk of bytes by d in both directions.
func (r *Relay) Delay(d time.Duration) { r.change(func() { r.delay = d }) }

// Opened returns the number of connections accepted so far.
func (r *Relay) Opened() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened
}

// Close ends the relay and all connections.
func (r *Relay) Close() {
	r.change(func() {
		r.closed = true
		for p := range r.conns {
			p.close()
		}
	})
	_ = r.listener.Close()
	r.wg.Wait()
}

// change applies f and wakes the forwarders that wait.
func (r *Relay) change(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	close(r.wake)
	r.wake = make(chan struct{})
}

func (r *Relay) accept() {
	defer r.wg.Done()
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		p := &pair{client: c}
		if !r.add(p) {
			p.close()
			continue
		}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.serve(p)
		}()
	}
}

func (r *Relay) add(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down || r.closed {
		return false
	}
	r.conns[p] = true
	r.opened++
	return true
}

// serve dials the target and forwards until one side ends.
func (r *Relay) serve(p *pair) {
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	server, err := net.DialTimeout("tcp", target, time.Second)
	r.mu.Lock()
	p.server = server
	ok := err == nil && r.conns[p] && !r.down && !r.closed
	r.mu.Unlock()
	if server == nil {
		p.server = nil
	}
	var wg sync.WaitGroup
	if ok {
		wg.Go(func() { r.forward(p, ToTarget, p.client, server) })
		wg.Go(func() { r.forward(p, ToClient, server, p.client) })
		wg.Wait()
	}
	r.mu.Lock()
	delete(r.conns, p)
	if err == nil {
		_ = server.Close()
	}
	_ = p.client.Close()
	r.mu.Unlock()
}

// chunk is a read that is forwarded at a time.
type chunk struct {
	bytes []byte
	at    time.Time
}

// forward copies one direction. The queue between reader and writer lets the
// delay apply to each chunk without reducing throughput.
func (r *Relay) forward(p *pair, d Direction, from, to net.Conn) {
	queue := make(chan chunk, 1024)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for c := range queue {
			time.Sleep(time.Until(c.at))
			if !r.pass(p, d) {
				break
			}
			if _, err := to.Write(c.bytes); err != nil {
				break
			}
		}
		r.closePair(p)
		for range queue { // lets the reader end
		}
	}()
	buf := make([]byte, chunkSize)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			queue <- chunk{append([]byte(nil), buf[:n]...), time.Now().Add(r.currentDelay())}
		}
		if err != nil {
			close(queue)
			<-done
			return
		}
	}
}

func (r *Relay) closePair(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.close()
}

func (r *Relay) currentDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay
}

// pass waits while the direction is cut or the connection is silent. It returns
// false once the connection has ended.
func (r *Relay) pass(p *pair, d Direction) bool {
	for {
		r.mu.Lock()
		ended := r.closed || r.down || !r.conns[p]
		held := p.silent || r.cut&d != 0
		wake := r.wake
		r.mu.Unlock()
		if ended {
			return false
		}
		if !held {
			return true
		}
		<-wake
	}
}
