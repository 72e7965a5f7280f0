package sse

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"nutmegrouter/internal/overload"
)

// repeatingReader returns a text over and over again and never ends.
type repeatingReader struct {
	text   string
	offset int
}

func (e *repeatingReader) Read(p []byte) (int, error) {
	n := copy(p, e.text[e.offset:])
	e.offset = (e.offset + n) % len(e.text)
	return n, nil
}

// Guards against an event above MaxEventBytes that is accepted because its end arrives in the same
// read, and against a smaller one that is not.
func TestEventSizeLimit(t *testing.T) {
	for _, size := range []int{MaxEventBytes, MaxEventBytes + 1, 2*MaxEventBytes - 1} {
		is := is.New(t)
		event := "data: " + strings.Repeat("x", size-len("data: \n\n")) + "\n\n"
		r := NewReader(strings.NewReader(event), overload.NewMemoryLimit(1<<30))
		e, err := r.Next()
		if size > MaxEventBytes {
			is.Equal(err, ErrTooLarge)
		} else {
			is.NoErr(err)
			is.Equal(len(e.Raw), size)
		}
		is.True(r.reservedBytes <= maxBufferBytes)
		r.Release()
	}
}

// Guards against unbounded memory or reads for a stream that never ends and never completes
// an event with data: an event without its blank line, or only comments and other blocks
// without data.
func TestUnboundedBlocksFail(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"no blank line":     {"data: more\n", ErrTooLarge},
		"no line end":       {"x", ErrTooLarge},
		"comments":          {": still here\n\n", ErrNoData},
		"empty blocks":      {"\n", ErrNoData},
		"numbers, no data":  {"id: 7\n\n", ErrNoData},
		"comments in blank": {":\r\n\r\n", ErrNoData},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			memory := overload.NewMemoryLimit(3 * MaxEventBytes)
			r := NewReader(&repeatingReader{text: c.text}, memory)
			var err error
			for err == nil {
				_, err = r.Next()
			}
			is.Equal(err, c.want)
			_, err = r.Next()
			is.Equal(err, c.want) // the error is permanent
			r.Release()
			is.Equal(memory.Reserved(), int64(0))
		})
	}
}

// Guards against comments between events that fail a valid stream: the limit on blocks
// without data restarts after each event with data.
func TestCommentLimitRestartsAfterEvent(t *testing.T) {
	is := is.New(t)
	text := strings.Repeat(strings.Repeat(": still here\n\n", 1000)+"data: e\n\n", 50)
	r := NewReader(strings.NewReader(text), overload.NewMemoryLimit(MaxEventBytes))
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

// countingReader counts the reads of a source.
type countingReader struct {
	io.Reader
	reads int
}

func (c *countingReader) Read(p []byte) (int, error) {
	c.reads++
	return c.Reader.Read(p)
}

// Guards against an event in tiny parts that takes seconds of processor time before its size is found to be
// too large, and against one of 100 KB in single bytes that is not accepted.
func TestEventInTinyParts(t *testing.T) {
	is := is.New(t)
	memory := overload.NewMemoryLimit(3 * MaxEventBytes)
	source := &countingReader{Reader: iotest.OneByteReader(&repeatingReader{text: "x"})}
	r := NewReader(source, memory)
	_, err := r.Next()
	is.Equal(err, ErrTooLarge)
	is.True(source.reads <= maxEventReads)
	r.Release()
	event := "data: " + strings.Repeat("x", 100_000) + "\n\n"
	r = NewReader(iotest.OneByteReader(strings.NewReader(event+event)), memory)
	for range 2 {
		e, err := r.Next()
		is.NoErr(err)
		is.Equal(len(e.Raw), len(event))
	}
	r.Release()
}

// Guards against many readers that together exceed the shared memory limit.
func TestReadersShareMemory(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 20
	memory := overload.NewMemoryLimit(limit)
	var readers []*Reader
	refused := 0
	for range 200 {
		r := NewReader(&repeatingReader{text: "data: more\n"}, memory)
		readers = append(readers, r)
		_, err := r.Next()
		if errors.Is(err, overload.ErrNoMemory) {
			refused++
		}
		is.True(memory.Reserved() <= limit)
	}
	is.Equal(refused, 200)
	for _, r := range readers {
		r.Release()
	}
	is.Equal(memory.Reserved(), int64(0))
	r := NewReader(strings.NewReader("data: "+strings.Repeat("x", 100_000)+"\n\n"), memory)
	_, err := r.Next()
	is.NoErr(err) // released memory is available again
}

// Guards against a parsing time that grows with the square of an event's data lines.
func TestManyDataLines(t *testing.T) {
	is := is.New(t)
	const lines = 500_000
	r := NewReader(strings.NewReader(strings.Repeat("data:x\n", lines)+"\n"), overload.NewMemoryLimit(3*MaxEventBytes))
	begin := time.Now()
	e, err := r.Next()
	is.NoErr(err)
	is.Equal(len(e.Data), 2*lines-1)
	is.True(time.Since(begin) < 5*time.Second)
}
