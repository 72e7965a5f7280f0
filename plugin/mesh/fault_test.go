package mesh

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/goleak"

	"nutmegrouter/internal/kernel"
)

// Guards against goroutines that still run after the duties have ended.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// sendHeartbeats sends heartbeats from one node to another until the test ends.
func (w *testNetwork) sendHeartbeats(from, to string) {
	ctx, cancel := context.WithCancel(context.Background())
	w.t.Cleanup(cancel)
	w.nodes[from].goTracked(func() {
		for ctx.Err() == nil {
			callCtx, stop := context.WithTimeout(ctx, time.Second)
			_ = w.nodes[from].Call(callCtx, to, heartbeatMethod, 1, nil)
			stop()
			time.Sleep(500 * time.Millisecond)
		}
	})
}

// metricTotal returns the sum of a node's metrics whose names start with metric.
func (w *testNetwork) metricTotal(node, metric string) int {
	var buf bytes.Buffer
	w.nodes[node].ctx.Metrics.WritePrometheus(&buf)
	sum := 0
	for line := range strings.Lines(buf.String()) {
		if name, value, _ := strings.Cut(strings.TrimSpace(line), " "); strings.HasPrefix(name, metric) {
			n, _ := strconv.Atoi(value)
			sum += n
		}
	}
	return sum
}

// Guards against a silent link that is not detected within 2 s, and against senders
// that block on it.
func TestSilentLink(t *testing.T) {
	is := is.New(t)
	w := newTestNetwork(t, "a", "b")
	w.sendHeartbeats("a", "b")
	a := w.nodes["a"]
	first := a.links["b"].openSession()
	time.Sleep(silenceTimeout + time.Second) // a healthy link must survive this
	is.Equal(a.links["b"].openSession(), first)
	w.grid.Link("a", "b").Silence()
	begin := time.Now()
	for range 100 {
		_ = a.Notify("b", "note", 1) // would block until the write deadline if it wrote to the socket
	}
	w.await("detection of the silent link", func() bool {
		return w.metricTotal("a", "nutmeg_mesh_links_silent") > 0 || a.links["b"].openSession() != first
	})
	t.Logf("detected after %s", time.Since(begin))
	is.True(time.Since(begin) <= 2*time.Second) // the bound of section 1 of the design (docs/design.md)
	w.await("new link", func() bool { s := a.links["b"].openSession(); return s != nil && s != first })
	var got string
	is.NoErr(a.Call(withTimeout(t), "b", "echo", 1, &got))
}

// Guards against an unbounded send queue, an overflow that is not counted, and a
// writer that waits without a limit for a peer that does not read.
func TestQueueOverflow(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	set := metrics.NewSet()
	s := newStream(near, newCounters(set, "b"), kernel.NewClock().Now)
	var err error
	for i := 0; err == nil && i < 20*maxQueuedFrames; i++ {
		err = s.WriteObject(i)
	}
	is.Equal(err, ErrQueueFull)
	is.Equal(s.counters.Load().queueRefused.Get(), uint64(1))
	<-s.writerDone // ends at the write deadline
	is.Equal(s.counters.Load().writeErrors.Get(), uint64(1))
	is.True(s.WriteObject(1) != nil)
}

// Guards against two instances that cannot communicate although a third one reaches
// both, with their link cut in one or both directions, and against relayed messages
// out of order.
func TestRelay(t *testing.T) {
	for _, both := range []bool{true, false} {
		t.Run(fmt.Sprintf("both %v", both), func(t *testing.T) {
			is := is.New(t)
			w := newTestNetwork(t, "a", "b", "c")
			a, b := w.nodes["a"], w.nodes["b"]
			w.grid.Link("a", "b").Down()
			if both {
				w.grid.Link("b", "a").Down()
			}
			w.await("link down", func() bool { return len(a.PeersWithoutLink()) == 1 })
			is.True(!a.Reachable("b"))               // no report yet
			is.True(a.Notify("b", "note", 0) != nil) // no path
			is.True(a.Call(withTimeout(t), "b", "echo", 0, nil) != nil)
			a.RecordPeersWithoutLink("c", nil)
			b.RecordPeersWithoutLink("c", nil)
			is.True(a.Reachable("b"))
			for i := range 500 {
				is.NoErr(a.Notify("b", "note", i))
			}
			for i := range 500 {
				is.Equal(b.nextNotification(t), fmt.Sprintf("a %d", i)) // the origin is a, not c
			}
			var got string
			is.NoErr(a.Call(withTimeout(t), "b", "echo", 1, &got))
			is.Equal(got, "a 1")
			is.NoErr(b.Call(withTimeout(t), "a", "echo", 2, &got))
			is.Equal(got, "b 2")
			a.RecordPeersWithoutLink("c", []string{"b"})
			is.True(!a.Reachable("b")) // c has lost its link to b, too
			w.grid.Link("a", "b").Heal()
			w.await("direct link", func() bool { return len(a.PeersWithoutLink()) == 0 })
		})
	}
}

// Guards against a relay that forwards over another relay, and against errors for a
// missing path or an unknown method that do not reach the caller.
func TestRelayErrors(t *testing.T) {
	is := is.New(t)
	w := newTestNetwork(t, "a", "b", "c")
	a := w.nodes["a"]
	w.grid.Link("a", "b").Down()
	w.grid.Link("c", "b").Down()
	w.await("links down", func() bool { return len(a.PeersWithoutLink()) == 1 && len(w.nodes["c"].PeersWithoutLink()) == 1 })
	a.RecordPeersWithoutLink("c", nil) // a stale report: c no longer reaches b
	w.nodes["c"].RecordPeersWithoutLink("a", nil)
	var e *jsonrpc2.Error
	err := a.Call(withTimeout(t), "b", "echo", 1, nil)
	is.True(asRPCError(err, &e))
	is.Equal(e.Code, int64(codeNoPath))
	w.grid.Link("c", "b").Heal()
	w.await("link", func() bool { return len(w.nodes["c"].PeersWithoutLink()) == 0 })
	is.True(asRPCError(a.Call(withTimeout(t), "b", "nothing", 1, nil), &e))
	is.Equal(e.Code, int64(jsonrpc2.CodeMethodNotFound))
}

// asRPCError sets e to the JSON-RPC error that err wraps, if there is one.
func asRPCError(err error, e **jsonrpc2.Error) bool {
	cause, ok := err.(interface{ Cause() error })
	if !ok {
		return false
	}
	*e, ok = cause.Cause().(*jsonrpc2.Error)
	return ok
}

// Guards against slow calls that block heartbeats or notifications of the same peer,
// and against an unbounded number of calls in progress.
func TestSlowCalls(t *testing.T) {
	is := is.New(t)
	w := newTestNetwork(t, "a", "b")
	a := w.nodes["a"]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range maxCallsPerPeer {
		a.goTracked(func() { _ = a.Call(ctx, "b", "slow", 1, nil) })
	}
	w.await("slots taken", func() bool { return len(w.nodes["b"].peerState("a").slots) == maxCallsPerPeer })
	var e *jsonrpc2.Error
	is.True(asRPCError(a.Call(withTimeout(t), "b", "echo", 1, nil), &e))
	is.Equal(e.Code, int64(codeTooManyCalls))
	is.NoErr(a.Call(withTimeout(t), "b", heartbeatMethod, 1, nil))
	is.NoErr(a.Notify("b", "note", 1))
	is.Equal(w.nodes["b"].nextNotification(t), "a 1")
	is.True(asRPCError(a.Call(withTimeout(t), "b", "nothing", 1, nil), &e))
	is.Equal(e.Code, int64(jsonrpc2.CodeMethodNotFound))
}

// Guards against links that are not restored after a peer's restart.
func TestPeerRestart(t *testing.T) {
	is := is.New(t)
	w := newTestNetwork(t, "a", "b")
	for range 3 {
		w.nodes["b"].stop()
		w.start("b")
		var got string
		w.await("link to the new process", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return w.nodes["a"].Call(ctx, "b", "echo", 1, &got) == nil && w.nodes["b"].Call(ctx, "a", "echo", 1, nil) == nil
		})
		is.Equal(got, "a 1")
	}
}

// Guards against malformed frames that are accepted, not counted, or leave the
// connection open, and against unknown instances that pass the handshake.
func TestBadFrames(t *testing.T) {
	handshakeFrame := appendFrame(nil, []byte(`{"jsonrpc":"2.0","id":1,"method":"hello","params":{"instance":"a","boot":"x","to":"b"}}`))
	cases := []struct {
		name, metric string
		hello        bool
		bytes        []byte
	}{
		{"oversized", "nutmeg_mesh_frames_oversized", true, binary.AppendUvarint(nil, MaxFrameBytes+1)},
		{"overlong length", "nutmeg_mesh_frames_malformed", true, bytes.Repeat([]byte{0xff}, 12)},
		{"empty", "nutmeg_mesh_frames_malformed", true, []byte{0}},
		{"no JSON", "nutmeg_mesh_frames_malformed", true, appendFrame(nil, []byte("{"))},
		{"neither request nor response", "nutmeg_mesh_frames_malformed", true, appendFrame(nil, []byte(`{"id":1}`))},
		{"batch", "nutmeg_mesh_frames_malformed", true, appendFrame(nil, []byte(`[]`))},
		{"oversized handshake", "nutmeg_mesh_frames_oversized", false, binary.AppendUvarint(nil, 1<<30)},
		{"no handshake", "nutmeg_mesh_frames_malformed", false, appendFrame(nil, []byte(`{"method":"note","params":1}`))},
		{"handshake of an unknown instance", "nutmeg_mesh_frames_malformed", false, bytes.Replace(handshakeFrame, []byte(`"a"`), []byte(`"z"`), 1)},
		{"handshake addressed to another instance", "nutmeg_mesh_frames_malformed", false, bytes.Replace(handshakeFrame, []byte(`"b"`), []byte(`"c"`), 1)},
	}
	w := newTestNetwork(t, "a", "b")
	w.nodes["a"].stop() // its redial would replace the connection that the test opens under the name a
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			before := w.metricTotal("b", c.metric)
			conn, err := net.Dial("tcp", w.nodes["b"].Addr().String())
			is.NoErr(err)
			defer conn.Close()
			r := bufio.NewReader(conn)
			if c.hello {
				_, err = conn.Write(handshakeFrame)
				is.NoErr(err)
				_, _, err = readFrame(r)
				is.NoErr(err)
			}
			_, err = conn.Write(c.bytes)
			is.NoErr(err)
			is.NoErr(conn.SetReadDeadline(time.Now().Add(waitLimit)))
			_, _, err = readFrame(r)
			is.True(err == io.EOF || strings.Contains(err.Error(), "reset")) // closed by the peer
			w.await("count", func() bool { return w.metricTotal("b", c.metric) > before })
		})
	}
}

// Guards against a frame above MaxFrameBytes that is sent, and against one of exactly
// MaxFrameBytes that is not read.
func TestLargeFrames(t *testing.T) {
	is := is.New(t)
	w := newTestNetwork(t, "a", "b")
	a := w.nodes["a"]
	is.NoErr(a.Call(withTimeout(t), "b", "echo", strings.Repeat("x", 1<<20), nil))
	is.Equal(a.links["b"].openSession().stream.WriteObject(strings.Repeat("x", MaxFrameBytes-1)), ErrOversized) // one byte above the limit with the quotes
	is.Equal(w.metricTotal("a", "nutmeg_mesh_frames_oversized"), 1)
	whole := appendFrame(nil, make([]byte, MaxFrameBytes))
	body, size, err := readFrame(bufio.NewReader(bytes.NewReader(whole)))
	is.NoErr(err)
	is.Equal(len(body), MaxFrameBytes)
	is.Equal(size, len(whole))
	is.NoErr(a.Call(withTimeout(t), "b", "echo", 1, nil)) // the link is still usable
}

// Guards against bytes or messages that are not counted by method and peer.
func TestCounters(t *testing.T) {
	is := is.New(t)
	w := newTestNetwork(t, "a", "b")
	is.NoErr(w.nodes["a"].Call(withTimeout(t), "b", "echo", 1, nil))
	for _, m := range []string{"messages", "bytes"} {
		is.True(w.metricTotal("a", `nutmeg_mesh_sent_`+m+`_total{peer="b",method="echo"}`) > 0)
		is.Equal(w.metricTotal("a", `nutmeg_mesh_sent_`+m+`_total{peer="b",method="echo"}`), w.metricTotal("b", `nutmeg_mesh_received_`+m+`_total{peer="a",method="echo"}`))
		is.Equal(w.metricTotal("b", `nutmeg_mesh_sent_`+m+`_total{peer="a",method="echo"}`), w.metricTotal("a", `nutmeg_mesh_received_`+m+`_total{peer="b",method="echo"}`))
	}
}

// Guards against a panic, an unbounded allocation, and a body that changes when it
// is framed or packed and decoded again.
func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{3, '{', '}', ' '})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add(appendFrame(nil, pack([]byte(`{"id":1,"jsonrpc":"2.0","method":"beat","params":["\u0001"]}`))))
	f.Add(appendFrame(nil, []byte(`{"id":1,"result":null,"jsonrpc":"2.0"}`)))
	f.Fuzz(func(t *testing.T, raw []byte) {
		body, size, err := readFrame(bufio.NewReader(bytes.NewReader(raw)))
		if err != nil {
			return
		}
		if len(body) == 0 || len(body) > MaxFrameBytes || size > len(raw) {
			t.Fatalf("frame of %d bytes from %d", len(body), size)
		}
		again, _, err := readFrame(bufio.NewReader(bytes.NewReader(appendFrame(nil, body))))
		if err != nil || !bytes.Equal(again, body) {
			t.Fatalf("round trip: %v", err)
		}
		var v, same json.RawMessage
		if json.Unmarshal(unpack(body), &v) != nil {
			return
		}
		text, err := json.Marshal(v)
		if err != nil || json.Unmarshal(unpack(pack(text)), &same) != nil || !bytes.Equal(same, text) {
			t.Fatalf("%q does not survive packing", text)
		}
	})
}

// Guards against an instance that waits for the end of its backoff before it dials a
// peer that has just connected to it. After a power failure this left the control
// instances without a leader for 0.7 s after their processes had started.
func TestRedialsPeerThatDials(t *testing.T) {
	is := is.New(t)
	w := newTestNetwork(t, "a", "b")
	w.nodes["b"].stop()
	time.Sleep(4 * time.Second) // the backoff has grown to 0.5 s or more
	for range 3 {
		w.start("b")
		w.await("link to a", func() bool { return w.nodes["b"].Reachable("a") && w.nodes["b"].links["a"].openSession() != nil })
		took := w.await("link from a", func() bool { return w.nodes["a"].links["b"].openSession() != nil })
		is.True(took < 100*time.Millisecond)
		w.nodes["b"].stop()
		time.Sleep(2 * time.Second)
	}
}

// Guards against an instance that waits for the timeout of a dial that began while the
// peer's host was down, although the peer has since connected to it. After a power
// failure the first two control instances reached the others only 1.0 s after their own
// start.
func TestRedialsWhileConnecting(t *testing.T) {
	is := is.New(t)
	var hostDown atomic.Bool
	dialer := func(ctx context.Context, network, address string) (net.Conn, error) {
		if hostDown.Load() { // the host is off: a connect gets no response
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	w := newTestNetworkWith(t, dialer, "a", "b")
	a := w.nodes["a"]
	hostDown.Store(true)
	w.nodes["b"].stop()
	w.await("loss of the link", func() bool { return a.links["b"].openSession() == nil && a.links["b"].cancelDial.Load() != nil })
	time.Sleep(2 * connectTimeout)
	w.await("connect in progress", func() bool { return a.links["b"].cancelDial.Load() != nil })
	hostDown.Store(false)
	w.start("b")
	w.await("link to a", func() bool { return w.nodes["b"].links["a"].openSession() != nil })
	took := w.await("link from a", func() bool { return a.links["b"].openSession() != nil })
	is.True(took < connectTimeout/2)
}
