// Package explain reconstructs the processing of one request from the logs of many
// instances: the log lines of the request in order of time, and the state that the
// instances had logged before they handled it, such as the configuration in force
// and the known targets.
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

// maxLineBytes bounds the length of one log line. Lines of this program are far shorter.
const maxLineBytes = 1 << 20

// Line is one parsed log line.
type Line struct {
	Time     time.Time      `json:"time"`
	Level    string         `json:"level"`
	Message  string         `json:"msg"`
	Instance string         `json:"instance"`
	Step     string         `json:"step"`
	Fields   map[string]any `json:"fields"` // all others
}

// StateLine is the last log line about one subject, such as a target or the
// configuration, that an instance wrote before its first line of the request.
type StateLine struct {
	Line
	// Age is the time from this line to the instance's first line of the request.
	Age time.Duration `json:"age_ns"`
}

// Trace is all that the logs contain about a request.
type Trace struct {
	Request string `json:"request"` // request id
	// Lines are the log lines of the request in order of time.
	Lines []Line `json:"lines"`
	// State holds, for each instance that handled the request, its newest state lines
	// before its first line of the request. Lines about targets that the lines of the
	// request do not mention are left out.
	State []StateLine `json:"beliefs"`
	// Outcome is the last line that ends the request; nil if there is none.
	Outcome *Line `json:"outcome"`
	// LinesRead counts the input lines, Unreadable those that are not log lines.
	LinesRead  int `json:"read"`
	Unreadable int `json:"unreadable"`
	// Instances names the instances with lines in the input. Missing names those that
	// the lines mention but that have no lines themselves.
	Instances []string `json:"instances"`
	Missing   []string `json:"missing"`
}

// finalMessages are the log messages that end a request.
var finalMessages = []string{"answered", "refused", "caller left", "answer cut", "stream broken", "stream cancelled"}

const (
	// peerField is the log key with the name of another instance, or with its mesh
	// address where instances are discovered.
	peerField = "peer"
	// meshField is the log key with the mesh address of the instance itself, in its
	// first line.
	meshField = "mesh"
)

// Reader reads log lines and keeps those of one request and the state logged before
// them.
type Reader struct {
	result        Trace
	logged        map[string]bool            // names and mesh addresses of instances with lines
	meshAddresses map[string]bool            // those of logged that are addresses
	mentioned     map[string]bool            // instances that lines mention as peers
	current       map[string]map[string]Line // newest line by instance and subject
	atRequest     map[string]map[string]Line // copy of current at the first line of the request
}

// NewReader returns a reader for the lines of the request with this id.
func NewReader(request string) *Reader {
	return &Reader{
		result: Trace{Request: request},
		logged: map[string]bool{}, meshAddresses: map[string]bool{}, mentioned: map[string]bool{},
		current: map[string]map[string]Line{}, atRequest: map[string]map[string]Line{},
	}
}

// Read reads the log lines of one source. Lines of one instance must be in the order in
// which it wrote them. Text before the first brace of a line is skipped, because log
// collectors add prefixes. It fails on a read error and on a line above 1 MiB.
func (r *Reader) Read(src io.Reader) error {
	read, unreadable, err := scanLines(src, r.add)
	r.result.LinesRead += read
	r.result.Unreadable += unreadable
	return err
}

// scanLines calls add for each log line of a source. It returns the number of lines read and
// of those that are not log lines.
func scanLines(src io.Reader, add func(Line)) (read, unreadable int, err error) {
	s := bufio.NewScanner(src)
	s.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for s.Scan() {
		read++
		if l, ok := parse(s.Bytes()); ok {
			add(l)
		} else {
			unreadable++
		}
	}
	return read, unreadable, errors.WithMessage(s.Err(), "read log lines")
}

// parse decodes a log line; ok is false if it is not one of this program.
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

// add stores a line as one of the request or as the newest of its subject.
func (r *Reader) add(l Line) {
	r.logged[l.Instance] = true
	if name, ok := l.Fields[peerField].(string); ok && name != "" {
		r.mentioned[name] = true
	}
	if address, ok := l.Fields[meshField].(string); ok {
		r.logged[address] = true
		r.meshAddresses[address] = true
	}
	if id, _ := l.Fields[logqueue.RequestKey].(string); id == r.result.Request {
		if r.atRequest[l.Instance] == nil {
			r.atRequest[l.Instance] = maps.Clone(r.current[l.Instance])
		}
		r.result.Lines = append(r.result.Lines, l)
		return
	}
	if l.Level == logqueue.NoticeName || l.Level == slog.LevelError.String() {
		if r.current[l.Instance] == nil {
			r.current[l.Instance] = map[string]Line{}
		}
		r.current[l.Instance][subject(l)] = l
	}
}

// subject returns the subject of a line about an instance's state: a newer line with the
// same subject replaces it.
func subject(l Line) string {
	if t, ok := l.Fields["target"].(string); ok {
		return "target " + t
	}
	return l.Step
}

// Trace returns the result of all lines read so far.
func (r *Reader) Trace() Trace {
	s := r.result
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for i := range s.Lines {
		if slices.Contains(finalMessages, s.Lines[i].Message) {
			s.Outcome = &s.Lines[i]
		}
	}
	s.State = r.relevantState(s.Lines)
	for name := range r.logged {
		if !r.meshAddresses[name] {
			s.Instances = append(s.Instances, name)
		}
	}
	for name := range r.mentioned {
		if !r.logged[name] {
			s.Missing = append(s.Missing, name)
		}
	}
	slices.Sort(s.Instances)
	slices.Sort(s.Missing)
	return s
}

// relevantState returns the state lines of the instances that handled the request,
// without those about targets that the lines of the request do not mention.
func (r *Reader) relevantState(lines []Line) (out []StateLine) {
	usedTargets := map[string]bool{}
	first := map[string]time.Time{}
	for _, l := range lines {
		if t, ok := l.Fields["target"].(string); ok {
			usedTargets["target "+t] = true
		}
		if _, ok := first[l.Instance]; !ok {
			first[l.Instance] = l.Time
		}
	}
	for instance, states := range r.atRequest {
		for key, l := range states {
			if _, aboutTarget := l.Fields["target"].(string); aboutTarget && !usedTargets[key] {
				continue
			}
			out = append(out, StateLine{l, first[instance].Sub(l.Time)})
		}
	}
	slices.SortFunc(out, func(a, b StateLine) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance), cmp.Compare(subject(a.Line), subject(b.Line)))
	})
	return out
}
