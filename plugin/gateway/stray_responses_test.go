package gateway

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"nutmegrouter/internal/sse"
	"nutmegrouter/platform/standin"
)

// responseWithoutID returns a signed response without the id of its request.
func responseWithoutID(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 X\r\n"+standin.HeaderStamp+": stamp\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// streamWithoutID returns a signed event stream without the id of its request.
func streamWithoutID(body string) string {
	return "HTTP/1.1 200 X\r\n" + standin.HeaderStamp + ": stamp\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body) + endChunk
}

// Guards against a delayed duplicate of a response on a reused connection that reaches the
// next caller: before the right response, split into several writes, after it, and while
// the connection is idle; with and without the id of its request.
func TestDuplicateResponses(t *testing.T) {
	duplicates := map[string]string{
		"same length":       fullResponse(200, "id1", "first"),
		"other length":      fullResponse(200, "id1", strings.Repeat("first", 100)),
		"error":             fullResponse(500, "id1", "first"),
		"chunked":           responseHeader(200, "id1", "Transfer-Encoding: chunked") + "\r\n" + chunk("first") + endChunk,
		"stream":            streamHeader("id1") + chunk(events(1, 2)) + endChunk,
		"without id":        responseWithoutID("first"),
		"stream without id": streamWithoutID(events(1, 2)),
		"no id, no length":  "HTTP/1.1 200 X\r\n" + standin.HeaderStamp + ": stamp\r\n\r\nfirst",
		"two duplicates":    fullResponse(200, "id1", "first") + fullResponse(200, "id1", "first"),
		"not HTTP":          "first\r\n\r\n",
	}
	for name, duplicate := range duplicates {
		for position, script := range map[string]func(c net.Conn, id string){
			"before": func(c net.Conn, id string) { write(c, duplicate+fullResponse(200, id, "right")) },
			"before, split": func(c net.Conn, id string) {
				all := duplicate + fullResponse(200, id, "right")
				for _, part := range []string{all[:3], all[3 : len(duplicate)-3], all[len(duplicate)-3 : len(duplicate)+9], all[len(duplicate)+9:]} {
					write(c, part)
					time.Sleep(2 * time.Millisecond)
				}
			},
			"after": func(c net.Conn, id string) { write(c, fullResponse(200, id, "right")+duplicate) },
			"idle": func(c net.Conn, id string) {
				write(c, fullResponse(200, id, "right"))
				time.Sleep(5 * time.Millisecond)
				write(c, duplicate)
			},
		} {
			t.Run(name+" "+position, func(t *testing.T) {
				var used sync.Map // connections that have served a request
				x := newTarget(t, "t1", func(c net.Conn, r *http.Request, _ int) {
					if _, again := used.LoadOrStore(c, true); again {
						script(c, attemptID(r))
						return
					}
					body := "right"
					if attemptID(r) == "id1" {
						body = "first"
					}
					write(c, fullResponse(200, attemptID(r), body))
				})
				r := newRig(t, x).configure(1)
				c := r.dial()
				c.send(request("GET", "/look/1", "id1", ""))
				c.want(200, "first")
				for n := 2; n <= 4; n++ {
					id := fmt.Sprint("id", n)
					c.send(request("GET", "/look/1", id, ""))
					resp, body, err := c.readResponse()
					r.is.NoErr(err)
					switch resp.StatusCode {
					case 200:
						r.is.Equal(body, "right")
						r.is.Equal(resp.Header.Get(standin.HeaderAttempt), id)
					case 502: // the run state is unknown; no part of the duplicate is forwarded
						r.is.True(!strings.Contains(body, "first"))
						r.is.Equal(resp.Header.Get(standin.HeaderStamp), "")
					default:
						t.Fatalf("response %d %q", resp.StatusCode, body)
					}
					time.Sleep(10 * time.Millisecond) // the duplicate arrives while the connection is idle
				}
			})
		}
	}
}

// repeatUntilClosed writes a text repeatedly until the gateway closes the connection. It
// returns the number of bytes written.
func repeatUntilClosed(c net.Conn, text string) (bytes int) {
	raw := []byte(text)
	for {
		_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
		n, err := c.Write(raw)
		if bytes += n; err != nil {
			return bytes
		}
	}
}

// Guards against endless bytes that are not a response. The caller must get the response
// of another target long before its deadline, the connection must be closed, and little
// may be read from it.
func TestEndlessResponses(t *testing.T) {
	const maxRead = 4 * sse.MaxEventBytes // includes framing and socket buffers
	stream := "Content-Type: text/event-stream"
	chunked := "Transfer-Encoding: chunked"
	for name, c := range map[string]struct {
		path        string
		begin, more string
	}{
		"no line end":          {"/look/1", "", "x"},
		"header line":          {"/look/1", "HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"header lines":         {"/look/1", "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"},
		"interim responses":    {"/look/1", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		"other interim":        {"/look/1", "", "HTTP/1.1 102 X\r\n\r\n"},
		"chunk size":           {"/look/1", "ID" + chunked + "\r\n\r\n", "0"},
		"chunk extension":      {"/look/1", "ID" + chunked + "\r\n\r\n4;", "x"},
		"trailers":             {"/look/1", "ID" + chunked + "\r\n\r\n2\r\nok\r\n0\r\n", "X-More: 1\r\n"},
		"stray responses":      {"/look/1", "", fullResponse(200, "other", "stray")},
		"stray body":           {"/look/1", responseHeader(200, "other", chunked) + "\r\n", chunk(strings.Repeat("x", 1000))},
		"endless event":        {"/draft/1", "ID" + stream + "\r\n" + chunked + "\r\n\r\n", chunk("data: x\n")},
		"comments":             {"/draft/1", "ID" + stream + "\r\n" + chunked + "\r\n\r\n", chunk(": x\n\n")},
		"stream, chunk sizes":  {"/draft/1", "ID" + stream + "\r\n" + chunked + "\r\n\r\n", "0"},
		"event, then comments": {"/draft/1", "ID" + stream + "\r\n" + chunked + "\r\n\r\n" + chunk(event(1)), chunk(": x\n\n")},
	} {
		t.Run(name, func(t *testing.T) {
			written := make(chan int, 1)
			bad := newTarget(t, "t1", func(conn net.Conn, r *http.Request, _ int) {
				begin, ok := strings.CutPrefix(c.begin, "ID")
				if ok {
					begin = responseHeader(200, attemptID(r)) + begin
				}
				write(conn, begin)
				written <- repeatUntilClosed(conn, strings.Repeat(c.more, 1+4096/len(c.more)))
			})
			good := newTarget(t, "t2", func(conn net.Conn, r *http.Request, _ int) {
				if !strings.HasPrefix(r.URL.Path, "/draft") {
					write(conn, fullResponse(200, attemptID(r), "good"))
					return
				}
				from := 1
				if r.Header.Get(standin.HeaderAfter) == "1" {
					from = 2
				}
				write(conn, streamHeader(attemptID(r))+chunk(events(from, 2))+endChunk)
			})
			r := newRig(t, bad, good).configure(1)
			begin := time.Now()
			caller := r.dial()
			caller.send(request("GET", c.path, "id1", ""))
			want := "good"
			if c.path == "/draft/1" {
				want = events(1, 2)
			}
			resp, body, err := caller.readResponse()
			r.is.NoErr(err)
			r.is.Equal(resp.StatusCode, 200)
			r.is.Equal(strings.ReplaceAll(body, ": x\n\n", ""), want) // comments may be forwarded
			limit := time.Second                                      // the route allows 1.5 s
			if c.path == "/draft/1" {
				limit = 2 * time.Second // callers abandon a stream after a gap of 2 s
			}
			r.is.True(time.Since(begin) < limit)
			r.is.True(strings.HasPrefix(r.waitOutcomes(2), "broken "))
			select {
			case n := <-written:
				r.is.True(n < maxRead)
			case <-time.After(5 * time.Second):
				t.Fatal("the connection stays open")
			}
		})
	}
}

// Guards against slow streams that are aborted although events still arrive, and against
// stalled streams that never end because bytes arrive but no events.
func TestSlowStreams(t *testing.T) {
	slow := newTarget(t, "t1", func(c net.Conn, r *http.Request, _ int) {
		write(c, streamHeader(attemptID(r)))
		for n := range 4 {
			write(c, chunk(event(n+1)))
			time.Sleep(900 * time.Millisecond)
		}
		write(c, endChunk)
	})
	r := newRig(t, slow).configure(1)
	c := r.dial()
	c.send(request("POST", "/chat/1", "id1", "x", standin.HeaderDeadline+": 4000"))
	c.want(200, events(1, 4)) // takes 3.6 s of its 4 s

	stalled := newTarget(t, "t1", func(c net.Conn, r *http.Request, _ int) {
		write(c, streamHeader(attemptID(r))+chunk(event(1)))
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			write(c, chunk(":"))
		}
	})
	r = newRig(t, stalled).configure(1)
	c = r.dial()
	begin := time.Now()
	c.send(request("POST", "/chat/1", "id1", "x"))
	_, body, err := c.readResponse()
	r.is.True(err != nil) // not a complete response
	r.is.Equal(body, event(1))
	r.is.True(time.Since(begin) < 5*time.Second) // the route allows 4 s
	<-stalled.closed
}

// Guards against truncated responses that look complete, above all to HTTP/1.0 callers
// without chunked coding and to callers that send Connection: close.
func TestTruncatedResponseLooksIncomplete(t *testing.T) {
	for name, script := range map[string]func(c net.Conn, r *http.Request, n int){
		"stream": func(c net.Conn, r *http.Request, _ int) {
			write(c, streamHeader(attemptID(r))+chunk(events(1, 2)))
			c.Close()
		},
		"stream, torn event": func(c net.Conn, r *http.Request, _ int) {
			write(c, streamHeader(attemptID(r))+chunk(events(1, 2)+"id: 3\ndata:")+endChunk)
		},
		"stream, truncated trailer": func(c net.Conn, r *http.Request, _ int) {
			write(c, streamHeader(attemptID(r))+chunk(events(1, 2))+"0\r\nX-Tr")
			c.Close()
		},
		"long response": func(c net.Conn, r *http.Request, _ int) {
			write(c, responseHeader(200, attemptID(r), "Content-Length: 3000000")+"\r\n"+strings.Repeat("x", 2_000_000))
			c.Close()
		},
		"long response in chunks": func(c net.Conn, r *http.Request, _ int) {
			write(c, responseHeader(200, attemptID(r), "Transfer-Encoding: chunked")+"\r\n"+chunk(strings.Repeat("x", 2_000_000)))
			c.Close()
		},
		"long response, reset": func(c net.Conn, r *http.Request, _ int) {
			write(c, responseHeader(200, attemptID(r))+"\r\n"+strings.Repeat("x", 2_000_000))
			time.Sleep(20 * time.Millisecond)
			resetConn(c)
		},
	} {
		for kind, change := range map[string]func(string) string{
			"HTTP/1.0": func(s string) string { return strings.Replace(s, "HTTP/1.1", "HTTP/1.0", 1) },
			"close":    func(s string) string { return strings.Replace(s, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1) },
			"HTTP/1.1": func(s string) string { return s },
		} {
			t.Run(name+" "+kind, func(t *testing.T) {
				r := newRig(t, newTarget(t, "t1", script)).configure(1)
				path := "/chat/1"
				if strings.HasPrefix(name, "long") {
					path = "/order/1"
				}
				c := r.dial()
				c.send(change(request("POST", path, "id1", "x")))
				resp, body, err := c.readResponse()
				if err == nil && resp.StatusCode < 300 {
					t.Fatalf("a complete response %d of %d bytes", resp.StatusCode, len(body))
				}
			})
		}
	}
}

// Guards against endless responses that together exceed the memory of the instance: 200
// callers at once wait for events that never end.
func TestEndlessResponsesShareMemory(t *testing.T) {
	const callers, limit = 200, 64 << 20 // bytes; the rig's MemoryMB
	x := newTarget(t, "t1", func(c net.Conn, r *http.Request, _ int) {
		write(c, streamHeader(attemptID(r)))
		repeatUntilClosed(c, chunk(strings.Repeat("data: more\n", 1000)))
	})
	r := newRig(t, x).configure(1)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(limit * 3 / 4)) // as the daemon does
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	done := make(chan error, callers)
	for i := range callers {
		c := r.dial()
		go func() {
			c.send(request("POST", "/chat/1", fmt.Sprint("id", i), "x"))
			resp, body, err := c.readResponse()
			if err == nil && resp.StatusCode < 300 {
				err = fmt.Errorf("a complete response of %d bytes", len(body))
			} else {
				err = nil
			}
			done <- err
		}()
	}
	peak := uint64(0)
	for pending := callers; pending > 0; {
		select {
		case err := <-done:
			r.is.NoErr(err)
			pending--
		case <-time.After(20 * time.Millisecond):
			runtime.ReadMemStats(&now)
			peak = max(peak, now.HeapInuse)
		}
	}
	t.Logf("%d MB before, at most %d MB", before.HeapInuse>>20, peak>>20)
	r.is.True(peak < before.HeapInuse+limit)
	r.is.True(strings.Contains(r.logs.String(), "take all memory for answers"))
}
