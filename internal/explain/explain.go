// Package explain finds the story of one request in the log lines of many
// instances: the decisions that touched it, in the order of time, and what the
// instance that served it believed at that moment.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/logqueue"
)

// maxLine bounds one log line, in bytes. Lines of this program stay far below.
const maxLine = 1 << 20

// Line is one log line.
type Line struct {
	Time     time.Time      `json:"time"`
	Level    string         `json:"level"`
	Message  string         `json:"msg"`
	Instance string         `json:"instance"`
	Step     string         `json:"step"`
	Fields   map[string]any `json:"fields"` // all others
}

// Belief is the newest line about one thing that an instance believes.
type Belief struct {
	Line
	Age time.Duration `json:"age_ns"` // at the first line of the request
}

// Story is what the lines tell about a request.
type Story struct {
	Request string   `json:"request"`
	Lines   []Line   `json:"lines"`
	Beliefs []Belief `json:"beliefs"`
	// Outcome is the last line that ends the request; nil if there is none.
	Outcome *Line `json:"outcome"`
	// Read counts the lines read, Unreadable those that are no log lines.
	Read       int `json:"read"`
	Unreadable int `json:"unreadable"`
	// Instances are those with lines in the input. Missing are instances that these
	// lines name and that have none.
	Instances []string `json:"instances"`
	Missing   []string `json:"missing"`
}

// ends are the messages that end a request.
var ends = []string{"answered", "refused", "caller left", "answer cut", "stream broken", "stream cancelled"}

const (
	// peerField names another instance, or the address of its mesh where instances
	// are discovered.
	peerField = "peer"
	// meshField is the address of an instance's own mesh, in its first line.
	meshField = "mesh"
)

// Reader collects lines. It keeps those of one request and the beliefs before them.
type Reader struct {
	story     Story
	seen      map[string]bool            // instances with lines, and their addresses
	addresses map[string]bool            // those of seen that are addresses
	named     map[string]bool            // instances named by lines
	beliefs   map[string]map[string]Line // by instance and subject
	held      map[string]map[string]Line // beliefs at the first line of the request
}

// NewReader returns a reader for the lines of a request.
func NewReader(request string) *Reader {
	return &Reader{
		story: Story{Request: request},
		seen:  map[string]bool{}, addresses: map[string]bool{}, named: map[string]bool{},
		beliefs: map[string]map[string]Line{}, held: map[string]map[string]Line{},
	}
}

// Read takes the lines of one source, in the order in which each instance wrote them.
// Text before the first brace of a line is skipped, because collectors add their own.
func (r *Reader) Read(src io.Reader) error {
	s := bufio.NewScanner(src)
	s.Buffer(make([]byte, 0, 64<<10), maxLine)
	for s.Scan() {
		r.story.Read++
		l, ok := parse(s.Bytes())
		if !ok {
			r.story.Unreadable++
			continue
		}
		r.take(l)
	}
	return errors.WithMessage(s.Err(), "read log lines")
}

func parse(raw []byte) (l Line, ok bool) {
	begin := bytes.IndexByte(raw, '{')
	if begin < 0 {
		return l, false
	}
	if json.Unmarshal(raw[begin:], &l) != nil || l.Instance == "" {
		return l, false
	}
	if json.Unmarshal(raw[begin:], &l.Fields) != nil {
		return l, false
	}
	for _, known := range []string{"time", "level", "msg", "instance", "step"} {
		delete(l.Fields, known)
	}
	return l, true
}

func (r *Reader) take(l Line) {
	r.seen[l.Instance] = true
	if name, ok := l.Fields[peerField].(string); ok && name != "" {
		r.named[name] = true
	}
	if address, ok := l.Fields[meshField].(string); ok {
		r.seen[address] = true
		r.addresses[address] = true
	}
	if id, _ := l.Fields[logqueue.RequestKey].(string); id == r.story.Request {
		if r.held[l.Instance] == nil {
			r.held[l.Instance] = maps.Clone(r.beliefs[l.Instance])
		}
		r.story.Lines = append(r.story.Lines, l)
		return
	}
	if l.Level == logqueue.NoticeName || l.Level == slog.LevelError.String() {
		if r.beliefs[l.Instance] == nil {
			r.beliefs[l.Instance] = map[string]Line{}
		}
		r.beliefs[l.Instance][subject(l)] = l
	}
}

// subject tells what a belief is about: newer lines with the same subject replace it.
func subject(l Line) string {
	if t, ok := l.Fields["target"].(string); ok {
		return "target " + t
	}
	return l.Step
}

// Story returns what was found.
func (r *Reader) Story() Story {
	s := r.story
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for i := range s.Lines {
		if slices.Contains(ends, s.Lines[i].Message) {
			s.Outcome = &s.Lines[i]
		}
	}
	s.Beliefs = r.relevant(s.Lines)
	for name := range r.seen {
		if !r.addresses[name] {
			s.Instances = append(s.Instances, name)
		}
	}
	for name := range r.named {
		if !r.seen[name] {
			s.Missing = append(s.Missing, name)
		}
	}
	slices.Sort(s.Instances)
	slices.Sort(s.Missing)
	return s
}

// relevant returns the beliefs of the instances that handled the request. Of the
// targets only those count that its lines name.
func (r *Reader) relevant(lines []Line) (out []Belief) {
	used := map[string]bool{}
	first := map[string]time.Time{}
	for _, l := range lines {
		if t, ok := l.Fields["target"].(string); ok {
			used["target "+t] = true
		}
		if _, ok := first[l.Instance]; !ok {
			first[l.Instance] = l.Time
		}
	}
	for instance, held := range r.held {
		for about, l := range held {
			if _, target := l.Fields["target"].(string); target && !used[about] {
				continue
			}
			out = append(out, Belief{l, first[instance].Sub(l.Time)})
		}
	}
	slices.SortFunc(out, func(a, b Belief) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance), cmp.Compare(subject(a.Line), subject(b.Line)))
	})
	return out
}
