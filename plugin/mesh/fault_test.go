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

// Guards against goroutines that outlive the duties.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// beat sends beats from one node to another until the test ends.
func (w *network) beat(from, to string) {
	ctx, cancel := context.WithCancel(context.Background())
	w.t.Cleanup(cancel)
	w.nodes[from].run(func() {
		for ctx.Err() == nil {
			limited, stop := context.WithTimeout(ctx, time.Second)
			_ = w.nodes[from].Call(limited, to, beatMethod, 1, nil)
			stop()
			time.Sleep(500 * time.Millisecond)
		}
	})
}

func (w *network) total(node, metric string) int {
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

// Guards against a link that stays silent for ever, and against senders that
// block on it.
func TestSilentLink(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t, "a", "b")
	w.beat("a", "b")
	a := w.nodes["a"]
	first := a.links["b"].up()
	time.Sleep(silenceLimit + time.Second) // a healthy link must survive this
	is.Equal(a.links["b"].up(), first)
	w.grid.Link("a", "b").Silence()
	begin := time.Now()
	for range 100 {
		_ = a.Notify("b", "note", 1) // would block until the write deadline if it wrote by itself
	}
	w.await("silence noticed", func() bool { return w.total("a", "nutmeg_mesh_links_silent") > 0 || a.links["b"].up() != first })
	t.Logf("noticed after %s", time.Since(begin))
	is.True(time.Since(begin) <= 2*time.Second) // section 1
	w.await("new link", func() bool { s := a.links["b"].up(); return s != nil && s != first })
	var got string
	is.NoErr(a.Call(short(t), "b", "echo", 1, &got))
}

// Guards against an unbounded queue, an overflow that nobody counts, and a writer
// that never gives up a peer that does not read.
func TestQueueOverflow(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	set := metrics.NewSet()
	s := newStream(near, newCounters(set, "b"), kernel.NewClock().Now)
	var err error
	for i := 0; err == nil && i < 20*queueFrames; i++ {
		err = s.WriteObject(i)
	}
	is.Equal(err, ErrQueueFull)
	is.Equal(s.count.Load().overflow.Get(), uint64(1))
	<-s.ended // by the write deadline
	is.Equal(s.count.Load().writeErrors.Get(), uint64(1))
	is.True(s.WriteObject(1) != nil)
}

// Guards against two instances that lose each other although a third reaches
// both, in either or both directions, and against relayed messages out of order.
func TestRelay(t *testing.T) {
	for _, both := range []bool{true, false} {
		t.Run(fmt.Sprintf("both %v", both), func(t *testing.T) {
			is := is.New(t)
			w := newNetwork(t, "a", "b", "c")
			a, b := w.nodes["a"], w.nodes["b"]
			w.grid.Link("a", "b").Down()
			if both {
				w.grid.Link("b", "a").Down()
			}
			w.await("link down", func() bool { return len(a.Unreached()) == 1 })
			is.True(!a.Reachable("b"))               // no report yet
			is.True(a.Notify("b", "note", 0) != nil) // no path
			is.True(a.Call(short(t), "b", "echo", 0, nil) != nil)
			a.Report("c", nil)
			b.Report("c", nil)
			is.True(a.Reachable("b"))
			for i := range 500 {
				is.NoErr(a.Notify("b", "note", i))
			}
			for i := range 500 {
				is.Equal(b.next(t), fmt.Sprintf("a %d", i)) // the origin is a, not c
			}
			var got string
			is.NoErr(a.Call(short(t), "b", "echo", 1, &got))
			is.Equal(got, "a 1")
			is.NoErr(b.Call(short(t), "a", "echo", 2, &got))
			is.Equal(got, "b 2")
			a.Report("c", []string{"b"})
			is.True(!a.Reachable("b")) // c has lost b, too
			w.grid.Link("a", "b").Heal()
			w.await("direct link", func() bool { return len(a.Unreached()) == 0 })
		})
	}
}

// Guards against a relay that forwards more than one hop, hides that it has no
// path, or hides an unknown method.
func TestRelayErrors(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t, "a", "b", "c")
	a := w.nodes["a"]
	w.grid.Link("a", "b").Down()
	w.grid.Link("c", "b").Down()
	w.await("links down", func() bool { return len(a.Unreached()) == 1 && len(w.nodes["c"].Unreached()) == 1 })
	a.Report("c", nil) // c no longer reaches b
	w.nodes["c"].Report("a", nil)
	var e *jsonrpc2.Error
	err := a.Call(short(t), "b", "echo", 1, nil)
	is.True(asRPC(err, &e))
	is.Equal(e.Code, int64(codeNoPath))
	w.grid.Link("c", "b").Heal()
	w.await("link", func() bool { return len(w.nodes["c"].Unreached()) == 0 })
	is.True(asRPC(a.Call(short(t), "b", "nothing", 1, nil), &e))
	is.Equal(e.Code, int64(jsonrpc2.CodeMethodNotFound))
}

func asRPC(err error, e **jsonrpc2.Error) bool {
	cause, ok := err.(interface{ Cause() error })
	if !ok {
		return false
	}
	*e, ok = cause.Cause().(*jsonrpc2.Error)
	return ok
}

// Guards against a slow call that blocks other messages of the same peer, and
// against calls without a bound.
func TestSlowCalls(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t, "a", "b")
	a := w.nodes["a"]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range callsPerPeer {
		a.run(func() { _ = a.Call(ctx, "b", "slow", 1, nil) })
	}
	w.await("slots taken", func() bool { return len(w.nodes["b"].origin("a").slots) == callsPerPeer })
	var e *jsonrpc2.Error
	is.True(asRPC(a.Call(short(t), "b", "echo", 1, nil), &e))
	is.Equal(e.Code, int64(codeBusy))
	is.NoErr(a.Call(short(t), "b", beatMethod, 1, nil))
	is.NoErr(a.Notify("b", "note", 1))
	is.Equal(w.nodes["b"].next(t), "a 1")
	is.True(asRPC(a.Call(short(t), "b", "nothing", 1, nil), &e))
	is.Equal(e.Code, int64(jsonrpc2.CodeMethodNotFound))
}

// Guards against links that do not come back after a peer's restart.
func TestPeerRestart(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t, "a", "b")
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

// Guards against bad frames that are accepted, not counted, or leave the link
// open, and against strangers that get past the hello.
func TestBadFrames(t *testing.T) {
	hi := appendFrame(nil, []byte(`{"jsonrpc":"2.0","id":1,"method":"hello","params":{"instance":"a","boot":"x","to":"b"}}`))
	cases := []struct {
		name, metric string
		hello        bool
		bytes        []byte
	}{
		{"oversized", "nutmeg_mesh_frames_oversized", true, binary.AppendUvarint(nil, MaxFrame+1)},
		{"endless length", "nutmeg_mesh_frames_malformed", true, bytes.Repeat([]byte{0xff}, 12)},
		{"empty", "nutmeg_mesh_frames_malformed", true, []byte{0}},
		{"no JSON", "nutmeg_mesh_frames_malformed", true, appendFrame(nil, []byte("{"))},
		{"neither request nor response", "nutmeg_mesh_frames_malformed", true, appendFrame(nil, []byte(`{"id":1}`))},
		{"batch", "nutmeg_mesh_frames_malformed", true, appendFrame(nil, []byte(`[]`))},
		{"oversized hello", "nutmeg_mesh_frames_oversized", false, binary.AppendUvarint(nil, 1<<30)},
		{"no hello", "nutmeg_mesh_frames_malformed", false, appendFrame(nil, []byte(`{"method":"note","params":1}`))},
		{"hello of a stranger", "nutmeg_mesh_frames_malformed", false, bytes.Replace(hi, []byte(`"a"`), []byte(`"z"`), 1)},
		{"hello for another", "nutmeg_mesh_frames_malformed", false, bytes.Replace(hi, []byte(`"b"`), []byte(`"c"`), 1)},
	}
	w := newNetwork(t, "a", "b")
	w.nodes["a"].stop() // its redial would end the connection that the test opens in its name
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			before := w.total("b", c.metric)
			conn, err := net.Dial("tcp", w.nodes["b"].Addr().String())
			is.NoErr(err)
			defer conn.Close()
			r := bufio.NewReader(conn)
			if c.hello {
				_, err = conn.Write(hi)
				is.NoErr(err)
				_, _, err = readFrame(r)
				is.NoErr(err)
			}
			_, err = conn.Write(c.bytes)
			is.NoErr(err)
			is.NoErr(conn.SetReadDeadline(time.Now().Add(patience)))
			_, _, err = readFrame(r)
			is.True(err == io.EOF || strings.Contains(err.Error(), "reset")) // closed by the peer
			w.await("count", func() bool { return w.total("b", c.metric) > before })
		})
	}
}

// Guards against a frame above the limit that is sent, and against one below it
// that is not.
func TestLargeFrames(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t, "a", "b")
	a := w.nodes["a"]
	is.NoErr(a.Call(short(t), "b", "echo", strings.Repeat("x", 1<<20), nil))
	is.Equal(a.links["b"].up().stream.WriteObject(strings.Repeat("x", MaxFrame-1)), ErrOversized) // with quotes one too many
	is.Equal(w.total("a", "nutmeg_mesh_frames_oversized"), 1)
	whole := appendFrame(nil, make([]byte, MaxFrame))
	body, size, err := readFrame(bufio.NewReader(bytes.NewReader(whole)))
	is.NoErr(err)
	is.Equal(len(body), MaxFrame)
	is.Equal(size, len(whole))
	is.NoErr(a.Call(short(t), "b", "echo", 1, nil)) // the link is still usable
}

// Guards against bytes or messages that are not counted by method and peer.
func TestCounters(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t, "a", "b")
	is.NoErr(w.nodes["a"].Call(short(t), "b", "echo", 1, nil))
	for _, m := range []string{"messages", "bytes"} {
		is.True(w.total("a", `nutmeg_mesh_sent_`+m+`_total{peer="b",method="echo"}`) > 0)
		is.Equal(w.total("a", `nutmeg_mesh_sent_`+m+`_total{peer="b",method="echo"}`), w.total("b", `nutmeg_mesh_received_`+m+`_total{peer="a",method="echo"}`))
		is.Equal(w.total("b", `nutmeg_mesh_sent_`+m+`_total{peer="a",method="echo"}`), w.total("a", `nutmeg_mesh_received_`+m+`_total{peer="b",method="echo"}`))
	}
}

// Guards against a panic, an unbounded allocation or an accepted bad frame.
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
		if len(body) == 0 || len(body) > MaxFrame || size > len(raw) {
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

// Guards against an instance that waits for its next attempt to reach a peer which has
// just reached it: after a loss of power control instances had no leader for 0.7 s
// longer than their processes needed to start.
func TestRedialsPeerThatDials(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t, "a", "b")
	w.nodes["b"].stop()
	time.Sleep(4 * time.Second) // the pauses have grown to 0.5 s and more
	for range 3 {
		w.start("b")
		w.await("link to a", func() bool { return w.nodes["b"].Reachable("a") && w.nodes["b"].links["a"].up() != nil })
		back := w.await("link from a", func() bool { return w.nodes["a"].links["b"].up() != nil })
		is.True(back < 100*time.Millisecond)
		w.nodes["b"].stop()
		time.Sleep(2 * time.Second)
	}
}

// Guards against an instance that waits for a connect to an address without an answer,
// though the peer has just come up there and reached it: after a loss of power the first
// two control instances linked the others 1.0 s after their own start.
func TestRedialsWhileConnecting(t *testing.T) {
	is := is.New(t)
	var dark atomic.Bool
	dialer := func(ctx context.Context, network, address string) (net.Conn, error) {
		if dark.Load() { // the host is off: nothing answers
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	w := newNetworkWith(t, dialer, "a", "b")
	a := w.nodes["a"]
	dark.Store(true)
	w.nodes["b"].stop()
	w.await("loss of the link", func() bool { return a.links["b"].up() == nil && a.links["b"].abort.Load() != nil })
	time.Sleep(2 * connectLimit)
	w.await("connect in progress", func() bool { return a.links["b"].abort.Load() != nil })
	dark.Store(false)
	w.start("b")
	w.await("link to a", func() bool { return w.nodes["b"].links["a"].up() != nil })
	back := w.await("link from a", func() bool { return a.links["b"].up() != nil })
	is.True(back < connectLimit/2)
}
