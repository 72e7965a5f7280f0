package explain

import (
	"cmp"
	"io"
	"slices"
	"time"
)

// Cause is why an attempt of a caller was not served within its latency objective.
type Cause string

// Causes of losses. Each attempt that is not served in time has exactly one.
const (
	CauseQueued       Cause = "queued too long"
	CauseIdleTarget   Cause = "refused while a target was idle"
	CauseShare        Cause = "beyond the workspace's share"
	CauseTargetFailed Cause = "target failed"
	CauseTargetSlow   Cause = "target slow"
	CauseServiceError Cause = "service's own error"
	CauseEntryBusy    Cause = "entry saturated"
	CauseStopping     Cause = "instance stopping"
	CauseOwnerAway    Cause = "owner or configuration away"
	CauseProcessLost  Cause = "process lost"
	CauseCallerLeft   Cause = "caller left"
)

// Causes lists all causes in the order of reports.
var Causes = []Cause{
	CauseQueued, CauseIdleTarget, CauseShare, CauseTargetFailed, CauseTargetSlow, CauseServiceError, CauseEntryBusy,
	CauseStopping, CauseOwnerAway, CauseProcessLost, CauseCallerLeft,
}

// refusalCauses has the cause of each refusal code of the profile "routes". Codes that are not
// listed reject requests that no configuration allows; they are not counted.
var refusalCauses = map[string]Cause{
	"too_late": CauseQueued, "share_exceeded": CauseShare, "share_yields": CauseShare,
	"target_broken": CauseTargetFailed, "target_unreachable": CauseTargetFailed, "target_refused": CauseTargetFailed, "internal_error": CauseTargetFailed,
	"instance_busy": CauseEntryBusy, "memory_full": CauseEntryBusy, "stopping": CauseStopping,
	"not_ready": CauseOwnerAway, "no_target": CauseOwnerAway,
}

// codeDeadline is the refusal code of an attempt whose deadline passed. Its cause depends on
// whether a target had failed before.
const codeDeadline = "deadline"

// queuedShare is the part of the objective from which a wait for a target counts as the cause
// of a late response.
const queuedShare = 0.5

// Group counts the attempts of one workspace, kind of request or span of time.
type Group struct {
	Name   string        `json:"name"`
	Count  int           `json:"attempts"`
	InTime int           `json:"in_time"`
	Lost   map[Cause]int `json:"lost"`
}

// Grouping selects what Losses.Groups are.
type Grouping string

// Groupings of losses.
const (
	ByWorkspace Grouping = "workspace"
	ByKind      Grouping = "kind"
	ByTime      Grouping = "time"
)

// attempt is what the logs contain about one attempt of a caller.
type attempt struct {
	admittedAt time.Time
	objective  time.Duration // from admittedAt on; 0 = unknown
	group      string
	queued     time.Duration
	byEntry    bool // placed without the owner
	failures   int  // attempts at targets that failed
	beganAt    time.Time
}

// LossReader reads log lines and finds for each attempt of a caller whether it was served in
// time, and the cause if it was not. An attempt is a loss also if its caller retried with
// success.
type LossReader struct {
	grouping Grouping
	interval time.Duration
	open     map[string]*attempt
	groups   map[string]*Group
	skipped  int
}

// NewLossReader returns a reader that groups attempts. Interval is the length of a group of
// ByTime.
func NewLossReader(g Grouping, interval time.Duration) *LossReader {
	return &LossReader{grouping: g, interval: interval, open: map[string]*attempt{}, groups: map[string]*Group{}}
}

// Read reads the log lines of one source, like Reader.Read.
func (r *LossReader) Read(src io.Reader) error {
	_, unreadable, err := scanLines(src, r.add)
	r.skipped += unreadable
	return err
}

// add applies one log line.
func (r *LossReader) add(l Line) {
	id, _ := l.Fields["request"].(string)
	if id == "" {
		return
	}
	a := r.open[id]
	switch l.Message {
	case "admitted":
		r.open[id] = &attempt{admittedAt: l.Time, objective: l.milliseconds("objective_ms"), group: r.groupOf(l, l.text("kind"))}
	case "refused":
		r.end(id, l, r.refusalCause(l, a))
	}
	if a == nil {
		return
	}
	switch l.Message {
	case "placed":
		a.queued += l.milliseconds("wait_ms")
		a.byEntry = l.text("by") == "entry"
	case "attempt failed":
		a.failures++
	case "stream began":
		a.beganAt = l.Time
	case "answered":
		r.end(id, l, a.cause(l))
	case "answer cut", "stream broken":
		r.end(id, l, CauseTargetFailed)
	case "caller left", "stream cancelled":
		r.end(id, l, CauseCallerLeft)
	}
}

// refusalCause returns the cause of a refusal, or "" if it is not counted.
func (r *LossReader) refusalCause(l Line, a *attempt) Cause {
	code := l.text("code")
	switch idle, _ := l.Fields["idle_target"].(bool); {
	case code == codeDeadline && a != nil && a.failures > 0:
		return CauseTargetFailed
	case code == codeDeadline:
		return CauseQueued
	case idle:
		return CauseIdleTarget
	}
	return refusalCauses[code]
}

// servedInTime is the cause of an attempt that was served in time.
const servedInTime Cause = "in time"

// cause returns the cause of the loss of an answered attempt, or servedInTime.
func (a *attempt) cause(answered Line) Cause {
	if status, ok := answered.Fields["status"].(float64); ok && status >= 500 {
		return CauseServiceError
	}
	firstAt := answered.Time
	if !a.beganAt.IsZero() {
		firstAt = a.beganAt
	}
	switch {
	case a.objective <= 0 || firstAt.Sub(a.admittedAt) <= a.objective:
		return servedInTime
	case a.failures > 0:
		return CauseTargetFailed
	case a.queued >= time.Duration(queuedShare*float64(a.objective)):
		return CauseQueued
	case a.byEntry:
		return CauseOwnerAway
	}
	return CauseTargetSlow
}

// end counts an attempt with its cause. A cause of "" is not counted.
func (r *LossReader) end(id string, l Line, c Cause) {
	name := ""
	if a := r.open[id]; a != nil {
		name = a.group
		delete(r.open, id)
	} else {
		name = r.groupOf(l, "")
	}
	if c != "" {
		r.count(name, c)
	}
}

func (r *LossReader) count(name string, c Cause) {
	g := r.groups[name]
	if g == nil {
		g = &Group{Name: name, Lost: map[Cause]int{}}
		r.groups[name] = g
	}
	g.Count++
	if c == servedInTime {
		g.InTime++
	} else {
		g.Lost[c]++
	}
}

// groupOf returns the name of the group of an attempt by one of its lines.
func (r *LossReader) groupOf(l Line, kind string) string {
	switch r.grouping {
	case ByWorkspace:
		return l.text("workspace")
	case ByKind:
		return kind
	}
	return l.Time.Truncate(r.interval).Format(time.RFC3339)
}

// Losses is the result of all lines read.
type Losses struct {
	Groups []Group `json:"groups"` // by name
	Total  Group   `json:"total"`
	// Unreadable counts the input lines that are not log lines.
	Unreadable int `json:"unreadable"`
}

// Losses returns the result. An attempt without a line that ends it counts as lost with its
// process.
func (r *LossReader) Losses() Losses {
	for id, a := range r.open {
		delete(r.open, id)
		r.count(a.group, CauseProcessLost)
	}
	out := Losses{Total: Group{Name: "all", Lost: map[Cause]int{}}, Unreadable: r.skipped}
	for _, g := range r.groups {
		out.Groups = append(out.Groups, *g)
		out.Total.Count += g.Count
		out.Total.InTime += g.InTime
		for c, n := range g.Lost {
			out.Total.Lost[c] += n
		}
	}
	slices.SortFunc(out.Groups, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// text returns a field of a line, or "".
func (l Line) text(key string) string {
	s, _ := l.Fields[key].(string)
	return s
}

// milliseconds returns a field that holds a number of milliseconds, or 0.
func (l Line) milliseconds(key string) time.Duration {
	ms, _ := l.Fields[key].(float64)
	return time.Duration(ms * float64(time.Millisecond))
}
