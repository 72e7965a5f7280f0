// Package relay is a TCP proxy that injects network faults in tests. It forwards
// connections between two instances, or between an instance and a target, and can
// block one or both directions, silence connections, refuse them, or add delay.
package relay

import (
	"net"
	"sync"
	"time"
)

// Direction is a set of directions of traffic that a fault affects.
type Direction int

// Directions of traffic.
const (
	ToTarget Direction = 1 << iota // from the dialling side to the target
	ToClient                       // from the target to the dialling side
	Both     = ToTarget | ToClient
)

// chunkSize is the maximum size of one forwarded read in bytes.
const chunkSize = 32 << 10

// Relay forwards TCP connections to a target address. All methods are safe for
// concurrent use.
type Relay struct {
	address string
	wg      sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener
	target   string
	cut      Direction // directions in which no bytes are forwarded
	down     bool      // new connections are closed on accept
	delay    time.Duration
	conns    map[*forwardedConn]bool
	accepted int
	changed  chan struct{} // closed and replaced on every change of the state
	closed   bool
}

// forwardedConn is one forwarded connection.
type forwardedConn struct {
	client, server net.Conn
	silent         bool // stays open, but no more bytes are forwarded
}

func (fc *forwardedConn) close() {
	_ = fc.client.Close()
	if fc.server != nil {
		_ = fc.server.Close()
	}
}

// New starts a relay on a free port of 127.0.0.1 that forwards to target, an IP:port.
// The target may be changed with SetTarget. New returns an error if it cannot listen.
func New(target string) (*Relay, error) { return NewAt("127.0.0.1:0", target) }

// NewAt starts a relay as New does, but listens on the given IP:port.
func NewAt(address, target string) (*Relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{address: l.Addr().String(), listener: l, target: target, conns: map[*forwardedConn]bool{}, changed: make(chan struct{})}
	r.wg.Add(1)
	go r.accept(l)
	return r, nil
}

// Addr returns the IP:port at which the relay listens.
func (r *Relay) Addr() string { return r.address }

// SetTarget changes the address to which new connections are forwarded.
func (r *Relay) SetTarget(address string) { r.update(func() { r.target = address }) }

// Cut stops forwarding the bytes of a direction, on open and new connections, until
// Heal. Connections stay open, as in a network partition that drops packets.
func (r *Relay) Cut(d Direction) { r.update(func() { r.cut |= d }) }

// Down closes all connections, and new ones on accept, until Heal.
func (r *Relay) Down() {
	r.update(func() {
		r.down = true
		for fc := range r.conns {
			fc.close()
		}
	})
}

// Refuse closes all connections and the listener until Accept, as if the process of the target had
// ended: new connections are refused.
func (r *Relay) Refuse() {
	r.update(func() {
		_ = r.listener.Close()
		for fc := range r.conns {
			fc.close()
		}
	})
}

// Accept ends Refuse. It returns an error if it cannot listen at its address again.
func (r *Relay) Accept() error {
	l, err := net.Listen("tcp", r.Addr())
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return l.Close()
	}
	r.listener = l
	r.wg.Add(1)
	go r.accept(l)
	return nil
}

// Heal ends Cut and Down. Bytes received during a cut are then forwarded. Connections
// silenced by Silence remain silent.
func (r *Relay) Heal() { r.update(func() { r.cut, r.down = 0, false }) }

// Silence stops forwarding on the open connections permanently, and keeps them open. New
// connections are not affected.
func (r *Relay) Silence() {
	r.update(func() {
		for fc := range r.conns {
			fc.silent = true
		}
	})
}

// Delay delays the bytes read from now on by d, in both directions.
func (r *Relay) Delay(d time.Duration) { r.update(func() { r.delay = d }) }

// Accepted returns the number of connections accepted so far.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// Close closes the listener and all connections and waits for the relay's goroutines.
func (r *Relay) Close() {
	r.update(func() {
		r.closed = true
		for fc := range r.conns {
			fc.close()
		}
		_ = r.listener.Close()
	})
	r.wg.Wait()
}

// update changes the state with f and notifies the waiting forwarders.
func (r *Relay) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Relay) accept(l net.Listener) {
	defer r.wg.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		fc := &forwardedConn{client: c}
		if !r.register(fc) {
			fc.close()
			continue
		}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.serve(fc)
		}()
	}
}

// register adds a connection, unless the relay is down or closed.
func (r *Relay) register(fc *forwardedConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down || r.closed {
		return false
	}
	r.conns[fc] = true
	r.accepted++
	return true
}

// serve dials the target and forwards both directions until the connection ends.
func (r *Relay) serve(fc *forwardedConn) {
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	server, err := net.DialTimeout("tcp", target, time.Second)
	r.mu.Lock()
	fc.server = server
	ok := err == nil && r.conns[fc] && !r.down && !r.closed
	r.mu.Unlock()
	if server == nil {
		fc.server = nil
	}
	var wg sync.WaitGroup
	if ok {
		wg.Go(func() { r.forward(fc, ToTarget, fc.client, server) })
		wg.Go(func() { r.forward(fc, ToClient, server, fc.client) })
		wg.Wait()
	}
	r.mu.Lock()
	delete(r.conns, fc)
	if err == nil {
		_ = server.Close()
	}
	_ = fc.client.Close()
	r.mu.Unlock()
}

// chunk is the result of one read and the time at which to forward it.
type chunk struct {
	bytes []byte
	due   time.Time
}

// forward copies the bytes of one direction. A queue between the reader and the writer
// applies the delay to each chunk without reducing the throughput.
func (r *Relay) forward(fc *forwardedConn, d Direction, from, to net.Conn) {
	queue := make(chan chunk, 1024)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for c := range queue {
			time.Sleep(time.Until(c.due))
			if !r.waitUntilPassable(fc, d) {
				break
			}
			if _, err := to.Write(c.bytes); err != nil {
				break
			}
		}
		r.closeConn(fc)
		for range queue { // unblocks the reader
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

func (r *Relay) closeConn(fc *forwardedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fc.close()
}

func (r *Relay) currentDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay
}

// waitUntilPassable waits while the direction is cut or the connection is silent. It
// returns false once the connection has ended.
func (r *Relay) waitUntilPassable(fc *forwardedConn, d Direction) bool {
	for {
		r.mu.Lock()
		ended := r.closed || r.down || !r.conns[fc]
		blocked := fc.silent || r.cut&d != 0
		changed := r.changed
		r.mu.Unlock()
		if ended {
			return false
		}
		if !blocked {
			return true
		}
		<-changed
	}
}
