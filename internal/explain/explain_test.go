package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Lines of two instances, with a prefix of a log collector and a truncated line as they
// occur in real files.
const (
	entryLines = `
{"time":"2026-01-01T00:00:01Z","level":"NOTICE","msg":"configuration in force","instance":"e1","step":"view","version":4}
{"time":"2026-01-01T00:00:02Z","level":"NOTICE","msg":"configuration in force","instance":"e1","step":"view","version":7}
{"time":"2026-01-01T00:00:02Z","level":"NOTICE","msg":"target known","instance":"e1","step":"directory","target":"t1","state":"ready"}
{"time":"2026-01-01T00:00:02Z","level":"NOTICE","msg":"target known","instance":"e1","step":"directory","target":"t2","state":"ready"}
e1 | {"time":"2026-01-01T00:00:03Z","level":"INFO","msg":"admitted","instance":"e1","step":"admit","request":"r1","version":7}
{"time":"2026-01-01T00:00:03.2Z","level":"INFO","msg":"sent","instance":"e1","step":"send","request":"r1","target":"t1"}
{"time":"2026-01-01T00:00:03.3Z","level":"INFO","msg":"admitted","instance":"e1","step":"admit","request":"other"}
half a line {"time":
{"time":"2026-01-01T00:00:03.4Z","level":"NOTICE","msg":"target gone","instance":"e1","step":"directory","target":"t1"}
{"time":"2026-01-01T00:00:03.5Z","level":"WARN","msg":"attempt failed","instance":"e1","step":"head","request":"r1","target":"t1","outcome":"broken"}
{"time":"2026-01-01T00:00:03.6Z","level":"WARN","msg":"refused","instance":"e1","step":"retry","request":"r1","code":"target_broken"}
`
	otherLines = `
{"time":"2025-12-31T00:00:00Z","level":"NOTICE","msg":"started","instance":"e2","step":"start","mesh":"10.0.0.2:7400"}
{"time":"2025-12-31T00:00:01Z","level":"NOTICE","msg":"link up","instance":"e2","step":"link","peer":"10.0.0.2:7400"}
{"time":"2026-01-01T00:00:00Z","level":"NOTICE","msg":"leader known","instance":"e2","step":"leader","peer":"c1"}
{"time":"2026-01-01T00:00:03.1Z","level":"INFO","msg":"placed","instance":"e2","step":"place","request":"r1","by":"owner"}
`
)

func readLines(t *testing.T, request string, sources ...string) Trace {
	t.Helper()
	r := NewReader(request)
	for _, src := range sources {
		is.New(t).NoErr(r.Read(strings.NewReader(strings.TrimSpace(src))))
	}
	return r.Trace()
}

// Guards against lines that are out of order or of another request, and against a
// missing outcome.
func TestRequestLinesInOrder(t *testing.T) {
	is := is.New(t)
	s := readLines(t, "r1", entryLines, otherLines)
	var messages []string
	for _, l := range s.Lines {
		messages = append(messages, l.Message)
	}
	is.Equal(messages, []string{"admitted", "placed", "sent", "attempt failed", "refused"})
	is.True(s.Outcome != nil)
	is.Equal(s.Outcome.Fields["code"], "target_broken")
	is.Equal(s.Unreadable, 1)
	is.Equal(s.Instances, []string{"e1", "e2"})
	is.Equal(s.Missing, []string{"c1"}) // mentioned as the leader, but without lines
}

// Guards against state that was logged after the request began, or is about targets
// that the request did not use.
func TestStateAtTimeOfRequest(t *testing.T) {
	is := is.New(t)
	s := readLines(t, "r1", entryLines)
	var messages []string
	for _, b := range s.State {
		messages = append(messages, b.Message)
		if b.Step == "view" {
			is.Equal(b.Fields["version"], 7.0)
			is.Equal(b.Age, time.Second)
		}
	}
	is.Equal(messages, []string{"target known", "configuration in force"})
}

// Guards against a result for a request without lines.
func TestUnknownRequest(t *testing.T) {
	is := is.New(t)
	s := readLines(t, "r9", entryLines)
	is.Equal(len(s.Lines), 0)
	is.True(s.Outcome == nil)
	is.Equal(len(s.State), 0)
}
