package logqueue

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
)

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against code that blocks while the log's writer blocks.
func TestNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := blockedWriter{make(chan struct{})}
	set := metrics.NewSet()
	q := New(out, set)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { q.Run(ctx); close(done) }()
	log := slog.New(q.Handler(slog.LevelInfo))
	begin := time.Now()
	for i := range 20_000 {
		log.Info("answered", RequestKey, fmt.Sprint(i))
		log.Warn("refused", RequestKey, fmt.Sprint(i))
	}
	is.True(time.Since(begin) < 5*time.Second)
	is.True(q.ordinary.dropped.Get() > 0)
	is.True(q.failed.dropped.Get() > 0)
	cancel()
	close(out.release)
	<-done
}

// Guards against a volume above its limit, against requests of which only some lines
// are kept, and against lines of failures that are dropped in favour of others.
func TestVolumeBounded(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	q := New(&out, metrics.NewSet())
	log := slog.New(q.Handler(slog.LevelInfo))
	logRequests := func(n int) {
		out.Reset()
		for i := range n {
			log.Info("admitted", RequestKey, fmt.Sprint(i))
			log.With(RequestKey, fmt.Sprint(i)).Info("answered")
			q.Flush()
		}
		log.Warn("stream broken", RequestKey, "x")
		Notice(log, "leader known")
		q.Flush()
	}
	logRequests(5000)
	q.startInterval()
	logRequests(5000)
	is.True(out.Len() <= OrdinaryBytesPerSecond+FailedBytesPerSecond+StateBytesPerSecond)
	lines := map[string]int{}
	for _, l := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		var line struct{ Level, Msg, Request string }
		is.NoErr(json.Unmarshal([]byte(l), &line))
		lines[line.Request]++
		if line.Msg == "leader known" {
			is.Equal(line.Level, "NOTICE")
		}
	}
	is.Equal(lines["x"], 1) // a line above Info is kept
	is.True(len(lines) > 20)
	partial := 0
	for id, n := range lines {
		if id != "" && id != "x" && n != 2 {
			partial++
		}
	}
	is.True(partial <= 1) // all lines of a request or none, except the last one within the limit
}

// Guards against interleaved lines when several goroutines log.
func TestConcurrentLinesStayWhole(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	q := New(&out, metrics.NewSet())
	log := slog.New(q.Handler(slog.LevelInfo))
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			l := log.With("g", g)
			for i := range 50 {
				l.Info("line", "i", i)
			}
		})
	}
	wg.Wait()
	q.Flush()
	n := 0
	dec := json.NewDecoder(&out)
	for {
		var line map[string]any
		err := dec.Decode(&line)
		if err == io.EOF {
			break
		}
		is.NoErr(err)
		n++
	}
	is.Equal(n, 400)
}

// BenchmarkLine measures a line that is written, BenchmarkDropped one that is dropped
// because of the volume limit.
func BenchmarkLine(b *testing.B) {
	q := New(io.Discard, metrics.NewSet())
	q.ordinary.maxBytes = 1 << 60
	log := slog.New(q.Handler(slog.LevelInfo)).With(RequestKey, "0123456789abcdef")
	b.ReportAllocs()
	for b.Loop() {
		log.Info("sent", "step", "send", "target", "i-7f3a91c2", "address", "10.0.0.1:80", "send", 1, "left_ms", 14000)
		q.Flush()
	}
}

func BenchmarkDropped(b *testing.B) {
	q := New(io.Discard, metrics.NewSet())
	q.keptShare.Store(0)
	log := slog.New(q.Handler(slog.LevelInfo)).With(RequestKey, "0123456789abcdef")
	b.ReportAllocs()
	for b.Loop() {
		log.Info("sent", "step", "send", "target", "i-7f3a91c2", "address", "10.0.0.1:80", "send", 1, "left_ms", 14000)
	}
}
