package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// eventualTimeout limits the wait for conditions that normally hold soon.
const eventualTimeout = 10 * time.Second

// fixture is a running stand-in and a client for it.
type fixture struct {
	t    *testing.T
	is   *is.I
	addr string
	http http.Client
}

func startStandin(t *testing.T, s Spec) *fixture {
	t.Helper()
	s.Name, s.Listen = "t1", "127.0.0.1:0"
	h, err := Start([]Spec{s})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	f := &fixture{t: t, is: is.New(t), addr: h.Addresses()[0]}
	t.Cleanup(f.http.CloseIdleConnections)
	return f
}

func (f *fixture) post(path, body string, header ...string) (*http.Response, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+f.addr+path, strings.NewReader(body))
	f.is.NoErr(err)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return f.http.Do(r)
}

func (f *fixture) postAndRead(path, body string, header ...string) ([]byte, *http.Response, error) {
	r, err := f.post(path, body, header...)
	if err != nil {
		return nil, nil, err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return b, r, err
}

func (f *fixture) get(path string, v any) {
	r, err := f.http.Get("http://" + f.addr + path)
	f.is.NoErr(err)
	defer r.Body.Close()
	f.is.NoErr(json.NewDecoder(r.Body).Decode(v))
}

func (f *fixture) stats() (s Stats) {
	f.get("/stats", &s)
	return s
}

func (f *fixture) inject(x Fault) {
	raw, _ := json.Marshal(x)
	_, r, err := f.postAndRead("/fault", string(raw))
	f.is.NoErr(err)
	f.is.Equal(r.StatusCode, 200)
}

func (f *fixture) eventually(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(eventualTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatal("timeout: " + what)
}

func chatBody(tag string, tokens int) string {
	return fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"user":%q}`, tokens, tag)
}

// Guards against responses that do not follow from the request, against a resume that
// repeats or skips events, and against a wrong end of the stream.
func TestEngineStreamAndResume(t *testing.T) {
	f := startStandin(t, Spec{Kind: KindEngine, PaceUs: 500})
	body := chatBody("a", 20)
	got, r, err := f.postAndRead("/v1/chat/completions", body)
	f.is.NoErr(err)
	f.is.Equal(r.Header.Get("X-Target-State"), "cold")
	f.is.Equal(r.Header.Get("X-Target-Boot"), "1")
	full := StreamBody([]byte(body), 20)
	f.is.Equal(string(got), string(full)) // every byte follows from the request
	tail, _, err := f.postAndRead("/v1/chat/completions", body, "X-Resume-Id", r.Header.Get("X-Stream-Id"), "Last-Event-ID", "7")
	f.is.NoErr(err)
	f.is.Equal(string(tail), string(full[bytes.Index(full, []byte("id: 8\n")):]))
	f.inject(Fault{Fault: FaultRestart})
	f.eventually("refuses to resume a stream from before the restart", func() bool {
		_, again, err := f.postAndRead("/v1/chat/completions", body, "X-Resume-Id", r.Header.Get("X-Stream-Id"), "Last-Event-ID", "7")
		return err == nil && again.StatusCode == 409
	})
	plain := strings.Replace(body, `"stream":true`, `"stream":false`, 1)
	got, _, err = f.postAndRead("/v1/completions", plain)
	f.is.NoErr(err)
	f.is.Equal(string(got), string(UnstreamedBody([]byte(plain), 20)))
	s := f.stats()
	f.is.Equal([]uint64{s.Starts, s.Completed, s.Resumed, s.Breaches}, []uint64{3, 3, 1, 0})
	f.is.Equal(len(s.StartsMs), 2) // a resumed stream has no start time
}

// Guards against a response header that is sent only with the first token: callers could
// then not confirm the start of work within one round trip.
func TestEngineHeaderAtAdmission(t *testing.T) {
	f := startStandin(t, Spec{Kind: KindEngine, PaceUs: 60_000_000})
	r, err := f.post("/v1/chat/completions", chatBody("a", 5))
	f.is.NoErr(err) // the first token is due in a minute
	defer r.Body.Close()
	_, c, err := f.postAndRead("/v1/streams/"+r.Header.Get("X-Stream-Id")+"/cancel", "")
	f.is.NoErr(err)
	f.is.Equal(c.StatusCode, 204)
	f.is.Equal(f.stats().Running, 0) // the slot is free before the response to the cancel
	_, err = io.ReadAll(r.Body)
	f.is.True(err != nil) // a cancelled stream does not end as if complete
}

// Guards against a breach that is not counted or has no effect, and against breaches caused
// by work that started before the target became cold without notice.
func TestEngineBreachAndSuddenCold(t *testing.T) {
	f := startStandin(t, Spec{Kind: KindEngine, StartWarm: true, WarmCapacity: 4, ColdCapacity: 1, PaceUs: 60_000_000, RestartMs: 1})
	var open []*http.Response
	openStream := func() {
		r, err := f.post("/v1/chat/completions", chatBody("a", 5))
		f.is.NoErr(err)
		t.Cleanup(func() { r.Body.Close() })
		open = append(open, r)
	}
	openStream()
	openStream()
	f.inject(Fault{Fault: FaultCold})
	openStream() // the cold capacity admits one new request
	f.is.Equal(open[2].Header.Get("X-Target-State"), "cold")
	f.is.Equal(f.stats().Breaches, uint64(0))
	_, err := f.post("/v1/chat/completions", chatBody("b", 5))
	f.is.True(err != nil) // exceeds the capacity: the engine restarts
	for _, r := range open {
		_, err := io.ReadAll(r.Body)
		f.is.True(err != nil) // all streams are cut
	}
	s := f.stats()
	f.is.Equal([]uint64{s.Breaches, s.Cut, s.Boot}, []uint64{1, 3, 2})
	f.is.Equal(s.BreachList[0].Request, "b")
}

// Guards against a target that never becomes warm, or becomes warm too early.
func TestWarmUp(t *testing.T) {
	f := startStandin(t, Spec{Kind: KindEngine, PaceUs: 100, WarmAfter: 2, WarmMs: 20, ReportLagMs: 1})
	for _, want := range []string{"cold", "cold", "warm"} {
		_, r, err := f.postAndRead("/v1/completions", chatBody("a", 1))
		f.is.NoErr(err)
		f.is.Equal(r.Header.Get("X-Target-State"), want)
	}
	f.inject(Fault{Fault: FaultRestart})
	f.is.Equal(f.stats().State, "cold")
	f.eventually("accepts orders after the restart", func() bool {
		_, r, err := f.postAndRead("/orders", `{"order":"warm","fence":1}`)
		return err == nil && r.StatusCode == 200
	})
	f.eventually("the lagging load report shows warm", func() bool {
		var r LoadReport
		f.get("/load", &r)
		return r.State == "warm" && r.Boot == 2
	})
}

// Guards against stale fencing tokens that pass with ChecksFencingToken, or are refused
// without.
func TestOrderFencing(t *testing.T) {
	for _, c := range []struct {
		checks bool
		want   int
	}{{true, 409}, {false, 200}} {
		f := startStandin(t, Spec{Kind: KindEngine, ChecksFencingToken: c.checks})
		_, r, err := f.postAndRead("/orders", `{"order":"role","fence":5}`)
		f.is.NoErr(err)
		f.is.Equal(r.StatusCode, 200)
		_, r, err = f.postAndRead("/orders", `{"order":"role","fence":4}`)
		f.is.NoErr(err)
		f.is.Equal(r.StatusCode, c.want)
		s := f.stats()
		f.is.Equal(s.StaleRefused+s.StaleAccepted, uint64(1))
	}
}

// Guards against requests to a service that are not counted by tag, idempotency key and
// request id.
func TestServiceRecordsRuns(t *testing.T) {
	f := startStandin(t, Spec{Kind: KindService, WarmCapacity: 2})
	body := `{"user":"w1/7","work_ms":1,"answer_bytes":1000}`
	for range 2 {
		got, _, err := f.postAndRead("/book", body, "Idempotency-Key", "k", "X-Request-Id", "r")
		f.is.NoErr(err)
		f.is.Equal(string(got), string(ServiceBody([]byte(body), 1000)))
	}
	for by, name := range map[string]string{"tag": "w1/7", "key": "k", "request": "r"} {
		var table RunTable
		f.get("/runs?by="+by, &table)
		f.is.Equal(table.Runs[name], 2)
	}
}

// Guards against faults after which a response looks complete, and against faults that block
// the path by which tests clear them.
func TestFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault Fault
		kind  Kind
	}{
		{"crash during a stream", Fault{Fault: FaultCrash, After: 3}, KindEngine},
		{"crash during a call", Fault{Fault: FaultCrash}, KindService},
		{"silent before", Fault{Fault: FaultSilentBefore}, KindEngine},
		{"silent after", Fault{Fault: FaultSilentAfter}, KindService},
		{"reset", Fault{Fault: FaultReset}, KindEngine},
		{"refuse", Fault{Fault: FaultRefuse, MS: 300}, KindEngine},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := startStandin(t, Spec{Kind: c.kind, PaceUs: 500, RestartMs: 1})
			f.inject(c.fault)
			f.http.Timeout = 200 * time.Millisecond
			body := chatBody("a", 50)
			_, _, err := f.postAndRead("/v1/chat/completions", body)
			f.is.True(err != nil) // the caller sees an error
			f.http.Timeout = eventualTimeout
			if c.fault.Fault != FaultRefuse {
				f.inject(Fault{Fault: FaultClear})
			}
			f.eventually("serves after the fault", func() bool {
				_, r, err := f.postAndRead("/v1/chat/completions", body)
				return err == nil && r.StatusCode == 200
			})
			f.eventually("all slots are free", func() bool { return f.stats().Running == 0 })
		})
	}
}

// Guards against a silenced connection that transfers bytes again, and against silenced new
// connections.
func TestSilentOpenConnection(t *testing.T) {
	f := startStandin(t, Spec{Kind: KindService})
	c, err := net.Dial("tcp", f.addr)
	f.is.NoErr(err)
	defer c.Close()
	roundTrip := func() error {
		_, err := fmt.Fprintf(c, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
		f.is.NoErr(err)
		f.is.NoErr(c.SetReadDeadline(time.Now().Add(300 * time.Millisecond)))
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		return err
	}
	f.is.NoErr(roundTrip())
	f.inject(Fault{Fault: FaultSilentOpen})
	f.is.True(roundTrip() != nil)
	_, _, err = f.postAndRead("/x", "")
	f.is.NoErr(err) // a new connection is not affected
}

// Guards against a platform list that does not show changes, and against a weight store
// without a rate limit.
func TestPlatformAndWeights(t *testing.T) {
	f := startStandin(t, Spec{Kind: KindPlatform, ReportLagMs: 200, Instances: []Instance{{"t1", "127.0.0.1:1", "live"}}})
	state := func() string {
		var list []Instance
		f.get("/instances", &list)
		return list[0].State
	}
	f.is.Equal(state(), "live")
	_, r, err := f.postAndRead("/instances", `{"name":"t1","state":"leaving"}`)
	f.is.NoErr(err)
	f.is.Equal(r.StatusCode, 204)
	f.eventually("the list shows the change", func() bool { return state() == "leaving" })
	f.is.Equal(len(f.stats().ListedChanges), 1)

	w := startStandin(t, Spec{Kind: KindWeights, WeightsPerSecond: 0.001, WeightsBurst: 1})
	for _, want := range []int{200, 429} {
		r, err := w.http.Get("http://" + w.addr + "/weights/m/1")
		w.is.NoErr(err)
		r.Body.Close()
		w.is.Equal(r.StatusCode, want)
		w.is.Equal(want == 429, r.Header.Get("Retry-After") != "")
	}
}

// Guards against prompt cache events without lag or gaps.
func TestCacheEvents(t *testing.T) {
	c := newCacheLog(Spec{CacheLagMs: 1000, CacheGap: 3})
	now := time.Now()
	for i := range 7 {
		c.add(now, uint64(i))
	}
	i := is.New(t)
	i.Equal(len(c.eventsAfter(now, 0)), 0)
	seen := []uint64{}
	for _, e := range c.eventsAfter(now.Add(time.Second), 1) {
		seen = append(seen, e.Seq)
	}
	i.Equal(seen, []uint64{2, 4, 5, 7})
}
