package sse

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"nutmegrouter/internal/overload"
)

// endless repeats a text without end.
type endless struct {
	text string
	at   int
}

func (e *endless) Read(p []byte) (int, error) {
	n := copy(p, e.text[e.at:])
	e.at = (e.at + n) % len(e.text)
	return n, nil
}

// Guards against streams that never end and hold an event: an event without its blank
// line, and comments instead of events.
func TestEndlessBlocks(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"no blank line":     {"data: more\n", ErrTooLarge},
		"no line end":       {"x", ErrTooLarge},
		"comments":          {": still here\n\n", ErrFiller},
		"empty blocks":      {"\n", ErrFiller},
		"numbers, no data":  {"id: 7\n\n", ErrFiller},
		"comments in blank": {":\r\n\r\n", ErrFiller},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			memory := overload.NewBytes(3 * MaxEvent)
			r := NewReader(&endless{text: c.text}, memory)
			var err error
			for err == nil {
				_, err = r.Next()
			}
			is.Equal(err, c.want)
			_, err = r.Next()
			is.Equal(err, c.want) // it stays ended
			r.Release()
			is.Equal(memory.Held(), int64(0))
		})
	}
}

// Guards against comments between events that end a sound stream: each event begins a
// new count.
func TestCommentsBetweenEvents(t *testing.T) {
	is := is.New(t)
	text := strings.Repeat(strings.Repeat(": still here\n\n", 1000)+"data: e\n\n", 50)
	r := NewReader(strings.NewReader(text), overload.NewBytes(MaxEvent))
	events := 0
	for {
		e, err := r.Next()
		if err == io.EOF {
			break
		}
		is.NoErr(err)
		if e.HasData {
			events++
		}
	}
	is.Equal(events, 50)
}

// Guards against many readers that hold more memory than all of them together may.
func TestReadersShareMemory(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 20
	memory := overload.NewBytes(limit)
	var readers []*Reader
	refused := 0
	for range 200 {
		r := NewReader(&endless{text: "data: more\n"}, memory)
		readers = append(readers, r)
		_, err := r.Next()
		if errors.Is(err, overload.ErrNoMemory) {
			refused++
		}
		is.True(memory.Held() <= limit)
	}
	is.Equal(refused, 200)
	for _, r := range readers {
		r.Release()
	}
	is.Equal(memory.Held(), int64(0))
	r := NewReader(strings.NewReader("data: "+strings.Repeat("x", 100_000)+"\n\n"), memory)
	_, err := r.Next()
	is.NoErr(err) // there is room again
}

// Guards against an event whose cost grows with the square of its lines.
func TestManyDataLines(t *testing.T) {
	is := is.New(t)
	const lines = 500_000
	r := NewReader(strings.NewReader(strings.Repeat("data:x\n", lines)+"\n"), overload.NewBytes(3*MaxEvent))
	begin := time.Now()
	e, err := r.Next()
	is.NoErr(err)
	is.Equal(len(e.Data), 2*lines-1)
	is.True(time.Since(begin) < 5*time.Second)
}
