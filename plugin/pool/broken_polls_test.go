package pool_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// servePolls starts a server that responds to a request for load with a head and a report, and to one
// for the platform's list with the head and a list. It returns its address.
func servePolls(t *testing.T, head string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				body := `{"state":"warm","boot":3,"running":0,"queued":0,"as_of_ms":1}`
				if r.URL.Path != "/load" {
					body = `[{"name":"t1","address":"x","state":"leaving"}]`
				}
				_, _ = io.WriteString(c, strings.ReplaceAll(head, "LENGTH", fmt.Sprint(len(body)))+"\r\n\r\n"+body)
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against a load report or a list of the platform that is read from a broken response, and
// against refusing sound ones.
func TestBrokenPollsAreNotRead(t *testing.T) {
	for name, c := range map[string]struct {
		head  string
		sound bool
	}{
		"sound, no reason":                {"HTTP/1.1 200\r\nContent-Length: LENGTH", true},
		"sound, ends with its connection": {"HTTP/1.1 200 OK", true},
		"status 000":                      {"HTTP/1.1 000 OK\r\nContent-Length: LENGTH", false},
		"interim with status 000":         {"HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: LENGTH", false},
		"blank in a name":                 {"HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: LENGTH", false},
		"blank in a length's name":        {"HTTP/1.1 200 OK\r\nContent Length: 2", false},
		"blank before the colon":          {"HTTP/1.1 200 OK\r\nX-Bad : 1\r\nContent-Length: LENGTH", false},
		"control byte in a name":          {"HTTP/1.1 200 OK\r\nX\x01Bad: 1\r\nContent-Length: LENGTH", false},
	} {
		t.Run(name, func(t *testing.T) {
			address := servePolls(t, c.head)
			cfg := oneTarget(t, 1, 3)
			cfg.Targets[0].Address = address
			platformList = "http://" + address + "/instances"
			t.Cleanup(func() { platformList = "" })
			n, fleet := startFleet(t, cfg, "a")
			n.setOwner("a", 1)
			x := fleet["a"]
			left := func() bool { // the list was read
				all, _ := x.k.Events.Read()
				for _, e := range all {
					if e.Step == "target" && e.Detail == "leaving" {
						return true
					}
				}
				return false
			}
			if c.sound {
				eventually(t, "the list is read", left)
				return
			}
			count := func(name string) bool { v := x.metric(name); return v != "" && v != "0" }
			eventually(t, "no load report is read", func() bool { return count("nutmeg_sched_bad_load_reports_total") })
			eventually(t, "no list is read", func() bool { return count("nutmeg_sched_platform_list_failures_total") })
			eventually(t, "the target is not known as warm", func() bool { return x.metric(`nutmeg_sched_limit{pool="p"}`) == "1" })
			is.New(t).True(!left())
		})
	}
}
