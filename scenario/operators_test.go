package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"nutmegrouter/platform/standin"
)

// Guards against a configuration that is acknowledged although it cannot be read in full or is invalid,
// and that is then handed out or in force. What was acknowledged must be returned as it was sent.
func TestInvalidConfigurationsAreRefused(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a process")
	}
	is := is.New(t)
	f := newRoutesFleet(t)
	f.startControl()
	address := f.operators
	operator := standin.Operator{Client: &http.Client{Timeout: 3 * time.Second}}
	replace := func(document string) (status int) {
		for begin := time.Now(); time.Since(begin) < waitTimeout; time.Sleep(50 * time.Millisecond) {
			status, err := operator.Replace(context.Background(), address, []byte(document))
			if err == nil && status != http.StatusServiceUnavailable {
				return status
			}
		}
		t.Fatal("no clear response")
		return 0
	}
	const route = `{"name":"r","hostname":"h.example","path_prefix":"/a/","route_type":"idempotent","timeout_ms":1000,"target_latency_ms":100,"priority":1,"service":"s","max_attempts":2,"public":true}`
	const format = `{"version":%d,"routes":[` + route + `],"services":[{"name":"s","max_connections":10}],"limits":{"max_header_bytes":16384,"max_body_bytes":1024,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`
	first := fmt.Sprintf(format, 1)
	is.Equal(replace(first), http.StatusOK)
	for i, c := range []struct{ name, old, new string }{
		{"a closing brace too many", "", "}"},
		{"a closing bracket too many", "", "]"},
		{"two documents", "", "{}"},
		{"a comma after the document", "", ","},
		{"a zero byte after the document", "", "\x00"},
		{"a byte order mark", "{\"version\"", "\ufeff{\"version\""},
		{"a truncated document", `"idle_timeout_ms":15000}}`, `"idle_timeout_ms":15000}`},
		{"a comment", `"routes"`, `/* x */"routes"`},
		{"a trailing comma", `15000}`, `15000,}`},
		{"a string that is not UTF-8", `"name":"r"`, "\"name\":\"\xfe\""},
		{"a control character in a string", `"name":"r"`, "\"name\":\"\x03\""},
		{"half a surrogate pair", `"name":"r"`, `"name":"\ud800"`},
		{"a field that occurs twice", `"service":"s"`, `"service":"s","service":"s"`},
		{"a field that nobody knows and that occurs twice", `"public":true`, `"public":true,"note":1,"note":2`},
		{"a number with a leading zero", `"timeout_ms":1000`, `"timeout_ms":01000`},
		{"a number that is not finite", `"timeout_ms":1000`, `"timeout_ms":1e999`},
		{"NaN", `"timeout_ms":1000`, `"timeout_ms":NaN`},
		{"a number as a string", `"timeout_ms":1000`, `"timeout_ms":"1000"`},
		{"a version as a string", `"version":`, `"version":"7","x":`},
		{"a fractional version", `"version":`, `"version":1.5,"x":`},
		{"a negative version", `"version":`, `"version":-1,"x":`},
		{"no version", `"version"`, `"revision"`},
		{"a version in capitals", `"version"`, `"VERSION"`},
		{"no routes", `"routes"`, `"paths"`},
		{"null as routes", `"routes":[` + route + `]`, `"routes":null`},
		{"routes in capitals", `"routes"`, `"Routes"`},
		{"no services", `"services":[{"name":"s","max_connections":10}],`, ``},
		{"no limits", `"limits"`, `"bounds"`},
		{"a list as the document", "", ""}, // replaced below
		{"a route to an unknown service", `"service":"s"`, `"service":"t"`},
		{"two routes with one host and prefix", route, route + "," + strings.Replace(route, `"name":"r"`, `"name":"q"`, 1)},
		{"two hosts that differ in case", route, route + "," + strings.Replace(route, `h.example`, `H.example`, 1)},
		{"weights that add up to 0", `"service":"s"`, `"traffic_split":[{"service":"s","weight":0}]`},
		{"a negative weight", `"service":"s"`, `"traffic_split":[{"service":"s","weight":2},{"service":"s","weight":-1}]`},
		{"weights without a finite sum", `"service":"s"`, `"traffic_split":[{"service":"s","weight":1e308},{"service":"s","weight":1e308}]`},
		{"a timeout of 0", `"timeout_ms":1000`, `"timeout_ms":0`},
		{"no timeout", `"timeout_ms":1000,`, ``},
		{"a negative timeout", `"timeout_ms":1000`, `"timeout_ms":-1`},
		{"an unknown kind of route", `"idempotent"`, `"safe"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			document := fmt.Sprintf(format, 10+i)
			switch {
			case c.name == "a list as the document":
				document = "[" + document + "]"
			case c.old == "":
				document += c.new
			default:
				is.True(strings.Contains(document, c.old))
				document = strings.Replace(document, c.old, c.new, 1)
			}
			status := replace(document)
			is.True(status >= 400 && status < 500)
			status, raw, err := operator.Read(context.Background(), address)
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			is.True(string(raw) != document)
		})
	}
	for _, document := range []string{
		" \r\n\t" + fmt.Sprintf(format, 1000) + "\n ",
		strings.Replace(fmt.Sprintf(format, 1001), `"timeout_ms":1000`, `"timeout_ms":1e300`, 1), // longer than any clock
		strings.Replace(fmt.Sprintf(format, 1002), `"name":"r"`, `"name":"\u00fc\ud83d\ude00","note":{"a":[null]}`, 1),
	} {
		is.Equal(replace(document), http.StatusOK)
		status, raw, err := operator.Read(context.Background(), address)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.True(bytes.Equal(raw, []byte(document)))
		is.True(json.Valid(raw))
	}
}
