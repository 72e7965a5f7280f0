// Package placewire defines the JSON messages of the placement protocol between entry
// instances and the owner, and converts them to and from the types of package placement.
// JSON keys are short because a message is sent for each request.
package placewire

import (
	"encoding/binary"
	"encoding/json"
	"hash/fnv"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/placement"
)

// Methods of the messages: an entry instance sends EntryMessage to the owner, which sends
// OwnerMessage back.
const (
	MethodUp   = "place.up"
	MethodDown = "place.down"
)

// Request is a request that needs a target. Number identifies it on its entry instance.
type Request struct {
	Number    uint64      `json:"n"`
	Service   string      `json:"s"`
	Workspace string      `json:"w,omitempty"`
	Tokens    [2]int      `json:"k"`           // of the prompt, and the estimate of those generated
	Prompt    [][2]uint64 `json:"p,omitempty"` // PartID and tokens of each prompt part
	// TimesMs holds the time to the objective, the time to the deadline, the route's objective, and
	// the time to the caller's own deadline (0 = not stated), in milliseconds.
	TimesMs      [4]int64 `json:"d"`
	TriedTargets []string `json:"t,omitempty"` // IDs of the targets of earlier attempts
	Resumed      bool     `json:"r,omitempty"` // a stream that was already begun is resumed
	// Plain, Candidates and Fingerprint are as in placement.Request.
	Plain       bool         `json:"y,omitempty"`
	Candidates  []string     `json:"c,omitempty"`
	Fingerprint *Fingerprint `json:"f,omitempty"` // nil = none
	// Hash is as in placement.Request.
	Hash uint32 `json:"q,omitempty"`
	// Route is the name of the route, set only if a rollout of the service runs in the view of the entry instance.
	Route string `json:"h,omitempty"`
}

// Fingerprint is an api.Fingerprint: its selector and the halves of its digest.
type Fingerprint [3]uint64

// NewFingerprint returns the message for a fingerprint.
func NewFingerprint(f api.Fingerprint) Fingerprint {
	return Fingerprint{f.Selector, f.Digest[0], f.Digest[1]}
}

// ToAPI converts the message to the type of package api.
func (f Fingerprint) ToAPI() api.Fingerprint {
	return api.Fingerprint{Selector: f[0], Digest: [2]uint64{f[1], f[2]}}
}

// RequestCrash reports that a target has crashed while it ran a request.
type RequestCrash struct {
	Fingerprint Fingerprint `json:"f"`
	Target      string      `json:"a"`
}

// SuspectRequest is a placement.SuspectRequest. RemainingMs is in milliseconds.
type SuspectRequest struct {
	Fingerprint Fingerprint `json:"f"`
	Blocked     bool        `json:"b,omitempty"`
	RemainingMs int64       `json:"r,omitempty"`
}

// NewSuspects returns the messages for suspect requests.
func NewSuspects(requests []placement.SuspectRequest) []SuspectRequest {
	out := make([]SuspectRequest, len(requests))
	for i, r := range requests {
		out[i] = SuspectRequest{NewFingerprint(r.Fingerprint), r.Blocked, r.Remaining.Milliseconds()}
	}
	return out
}

// SuspectsToPlacement converts messages to the type of package placement.
func SuspectsToPlacement(requests []SuspectRequest) []placement.SuspectRequest {
	out := make([]placement.SuspectRequest, len(requests))
	for i, r := range requests {
		out[i] = placement.SuspectRequest{Fingerprint: r.Fingerprint.ToAPI(), Blocked: r.Blocked, Remaining: time.Duration(r.RemainingMs) * time.Millisecond}
	}
	return out
}

// Running is a request that runs on a target. Target is the target's ID; Began reports
// whether the first byte of the response was received.
type Running struct {
	Request
	Target string `json:"a"`
	Began  bool   `json:"b,omitempty"`
	// Answered reports that the target has begun to answer and did not crash.
	Answered bool `json:"v,omitempty"`
	// AgoMs is the time since the target was chosen, in milliseconds.
	AgoMs int64 `json:"g,omitempty"`
}

// End reports how the use of a target for a request ended.
type End struct {
	Number  uint64             `json:"n"`
	Outcome api.AttemptOutcome `json:"o"`
}

// EntryMessage is a message of an entry instance to the owner.
type EntryMessage struct {
	Term       uint64 `json:"t"`
	DataCentre string `json:"z"`
	// Sent is when the message was sent, on the clock of the entry instance, Heard the newest Sent of the
	// owner's messages that it has received, and HeardAgo the time since then, all in nanoseconds; 0 =
	// none. Follows reports that the entry instance starts nothing by itself while the owner responds.
	Sent     int64 `json:"i,omitempty"`
	Heard    int64 `json:"h,omitempty"`
	HeardAgo int64 `json:"g,omitempty"`
	Follows  bool  `json:"f,omitempty"`
	// Share reports the starts of the entry instance; nil = unchanged.
	Share *StartShare `json:"j,omitempty"`
	// Process identifies, in a full report, the process of the entry instance.
	Process string `json:"o,omitempty"`
	// Entries is, in a full report, the number of entry instances that this one knows of; 0 = it has had
	// no owner.
	Entries int `json:"c,omitempty"`
	// FullReport reports that the message describes the full state of this entry instance:
	// the owner discards its earlier state of it.
	FullReport bool      `json:"w,omitempty"`
	Requests   []Request `json:"a,omitempty"`
	Running    []Running `json:"r,omitempty"`
	Began      []uint64  `json:"b,omitempty"` // numbers of requests whose response has begun
	// Answered lists the numbers of requests that their targets have begun to answer without a
	// crash.
	Answered []uint64 `json:"v,omitempty"`
	Ends     []End    `json:"e,omitempty"`
	// Notices lists what targets have said of themselves: what is new, or in a full report all.
	Notices []Notice `json:"q,omitempty"`
	// Crashes lists requests that targets ran when they crashed, AnsweredSuspects those of the owner's
	// list that a target has answered.
	Crashes          []RequestCrash `json:"k,omitempty"`
	AnsweredSuspects []Fingerprint  `json:"s,omitempty"`
	// Suspects lists, in a full report, the requests of the last owner's list.
	Suspects []SuspectRequest `json:"u,omitempty"`
	// Blocked lists, in a full report, the prompt parts that the last owner has blocked.
	Blocked BlockedParts `json:"l,omitempty"`
	// Refused lists the requests that the entry instance refused for its throttled
	// workspaces without asking the owner, by workspace.
	Refused map[string][]Refused `json:"x,omitempty"`
	// Shed is the number of tokens of the requests that the entry instance shed for
	// lack of processor time or memory, by workspace. The tokens count as in Tokens.
	Shed map[string]int `json:"y,omitempty"`
	// Recent lists the prompts that targets have prefilled lately for this entry instance. It is sent once
	// to a new owner.
	Recent []RecentPrompt `json:"w2,omitempty"`
	// Rollouts lists what this entry instance has seen of running rollouts: those whose figures have
	// changed, or in a full report all.
	Rollouts []RolloutEvidence `json:"z2,omitempty"`
}

// IsAck reports whether the message only acknowledges the owner's messages.
func (u *EntryMessage) IsAck() bool {
	return !u.FullReport && u.Share == nil && len(u.Requests)+len(u.Running)+len(u.Began)+len(u.Answered)+len(u.Ends)+
		len(u.Rollouts)+len(u.Recent)+len(u.Notices)+len(u.Crashes)+len(u.AnsweredSuspects)+len(u.Refused)+len(u.Shed) == 0
}

// StartShare is a placement.StartReport. Ages are in milliseconds.
type StartShare struct {
	Parts map[string]int     `json:"p,omitempty"`
	AgoMs map[string][]int64 `json:"s,omitempty"`
}

// NewStartShare returns the message for a report.
func NewStartShare(r placement.StartReport) *StartShare {
	out := &StartShare{Parts: r.Parts, AgoMs: make(map[string][]int64, len(r.Ago))}
	for target, ages := range r.Ago {
		for _, ago := range ages {
			out.AgoMs[target] = append(out.AgoMs[target], ago.Milliseconds())
		}
	}
	return out
}

// ToPlacement converts the message to the type of package placement.
func (s *StartShare) ToPlacement() placement.StartReport {
	out := placement.StartReport{Parts: s.Parts, Ago: make(map[string][]time.Duration, len(s.AgoMs))}
	for target, ages := range s.AgoMs {
		for _, ms := range ages {
			out.Ago[target] = append(out.Ago[target], time.Duration(ms)*time.Millisecond)
		}
	}
	return out
}

// Refused is a request that an entry instance refused: its tokens as returned by Tokens, its
// RequestHash, the milliseconds to its objective, and those to its caller's own deadline (0 = not
// stated). Entry instances of earlier versions send the ID of the last prompt part in place of the
// hash, and no deadline; such a request is taken for a new one.
type Refused [4]int64

// Tokens returns the tokens of a request as they count towards its workspace's share: a
// prompt token counts once, a generated token twice.
func Tokens(w *api.PlacementRequest) int { return w.PromptTokens + 2*w.ExpectedOutputTokens }

// NewRefused returns the message for a request that was refused at time now.
func NewRefused(w *api.PlacementRequest, now time.Duration) Refused {
	return Refused{int64(Tokens(w)), int64(RequestHash(w)), (w.Objective - now).Milliseconds(), callerDeadlineMs(w, now)}
}

// after returns the message with the times that are left after a time.
func (r Refused) after(d time.Duration) Refused {
	r[2] -= d.Milliseconds()
	if r[3] > 0 {
		r[3] = max(1, r[3]-d.Milliseconds())
	}
	return r
}

// ToPlacement converts the message to the type of package placement.
func (r Refused) ToPlacement() placement.ThrottledRequest {
	return placement.ThrottledRequest{
		Tokens: int(r[0]), Hash: placement.RequestHash(r[1]),
		Objective: time.Duration(r[2]) * time.Millisecond, CallerDeadline: time.Duration(r[3]) * time.Millisecond,
	}
}

// callerDeadlineMs returns the time until the caller stops waiting, at least 1 if it has stated it, else 0.
func callerDeadlineMs(w *api.PlacementRequest, now time.Duration) int64 {
	if w.CallerDeadline == 0 {
		return 0
	}
	return max(1, (w.CallerDeadline - now).Milliseconds())
}

// Decision is the owner's decision on a Request. Without a Target it is a refusal with Code,
// and RetryMs is when the caller should retry, in milliseconds.
type Decision struct {
	Number  uint64 `json:"n"`
	Target  string `json:"a,omitempty"`
	Code    string `json:"c,omitempty"`
	RetryMs int64  `json:"r,omitempty"`
	// Metered reports that the request was counted against the rate limit of the target.
	Metered bool `json:"e,omitempty"`
	// Permitted reports that a plain request without candidates may be sent.
	Permitted bool `json:"p,omitempty"`
	// WaitMs, Excess and UncachedTokens are inputs of the decision, for the log: the wait
	// for a target in milliseconds, by how much the workspace exceeds its share, and the
	// uncached tokens of the prompt on the target.
	WaitMs         int64   `json:"w,omitempty"`
	Excess         float64 `json:"x,omitempty"`
	UncachedTokens int     `json:"m,omitempty"`
	// ThrottledPerMille is the throttled share of the workspace's requests, which the entry
	// instance refuses from now on without asking the owner, in thousandths.
	ThrottledPerMille int `json:"h,omitempty"`
	// MinUncachedTokens is the number of uncached tokens on the target that has the fewest,
	// MinUncachedWaitMs the wait for that target in milliseconds.
	MinUncachedTokens int   `json:"l,omitempty"`
	MinUncachedWaitMs int64 `json:"y,omitempty"`
	// IdleTarget reports that a target was idle when a request beyond its workspace's share was
	// decided on.
	IdleTarget bool `json:"i,omitempty"`
	// Retry reports that the request was taken for a retry of a refused one.
	Retry bool `json:"q,omitempty"`
	// NewVersion reports that the request goes to the new version of a service whose rollout runs: a plain
	// request is permitted there, the target of a model request has it. It is good for one send.
	NewVersion bool `json:"v,omitempty"`
	// ExpectedMs is, for a model request of a service whose rollout runs, the time from the send to the
	// first event that is expected of the versions before, in milliseconds.
	ExpectedMs int64 `json:"k,omitempty"`
	// FetchFrom is the ID of the target from which the granted one fetches parts of the prompt, and
	// FetchStartedUnixMs its incarnation; "" = none.
	FetchFrom          string `json:"f,omitempty"`
	FetchStartedUnixMs int64  `json:"fs,omitempty"`
	// Term is the owner's term, set by the receiver; it is not sent.
	Term uint64 `json:"-"`
}

// ForwardShare returns the share of the workspace's requests that is not throttled, from 0
// to 1: for these the entry instance asks the owner.
func (d *Decision) ForwardShare() float64 { return 1 - float64(d.ThrottledPerMille)/1000 }

// OwnerMessage is a message of the owner to an entry instance. One without decisions and
// without NotOwner is a heartbeat.
type OwnerMessage struct {
	Term uint64 `json:"t"`
	// Sent is when the message was sent, on the owner's clock, and Echo the newest Sent of the entry
	// instance's messages that the owner has applied, both in nanoseconds; 0 = none.
	Sent int64 `json:"i,omitempty"`
	Echo int64 `json:"h,omitempty"`
	// LatenessMs is how long after it was sent the newest of these messages was applied, in
	// milliseconds.
	LatenessMs int64 `json:"d,omitempty"`
	// NotOwner reports that the sender is not the owner in this term.
	NotOwner bool `json:"x,omitempty"`
	// ReportFully asks for a full report, because messages of the entry instance were dropped.
	ReportFully bool       `json:"f,omitempty"`
	Decisions   []Decision `json:"g,omitempty"`
	// Blocked replaces the list of blocked prompt parts at the entry instance; nil = unchanged.
	Blocked *BlockedParts `json:"b,omitempty"`
	// Limits lists rate limits of targets as a JSON array of Notice: those that have changed, or all
	// after a full report. It is encoded once for all entry instances.
	Limits json.RawMessage `json:"l,omitempty"`
	// Suspects replaces the list of suspect requests at the entry instance, as a JSON array of
	// SuspectRequest that is encoded once for all; nil = unchanged.
	Suspects json.RawMessage `json:"s,omitempty"`
}

// Notice is what a target has said of itself, as in placement.TargetNotice.
type Notice struct {
	Target        string `json:"a"`
	StartedUnixMs int64  `json:"s,omitempty"`
	Leaving       bool   `json:"l,omitempty"`
	PauseMs       int64  `json:"p,omitempty"`
	// Rate is the rate limit in requests per second; nil = not told. Unlimited reports that the target
	// has none any more. StatedAgoMs is as in placement.LimitNotice, in milliseconds.
	Rate        *float64 `json:"r,omitempty"`
	Unlimited   bool     `json:"u,omitempty"`
	StatedAgoMs int64    `json:"o,omitempty"`
}

// NewNotice returns the message for a notice.
func NewNotice(n placement.TargetNotice) Notice {
	out := Notice{Target: n.Target, StartedUnixMs: n.StartedUnixMs, Leaving: n.Leaving, PauseMs: n.Pause.Milliseconds()}
	if n.Limit.Stated {
		out.Unlimited, out.StatedAgoMs = !n.Limit.Limited, n.Limit.StatedAgo.Milliseconds()
		if n.Limit.Limited {
			out.Rate = &n.Limit.PerSecond
		}
	}
	return out
}

// NewNotices returns the messages for notices.
func NewNotices(notices []placement.TargetNotice) []Notice {
	out := make([]Notice, len(notices))
	for i, n := range notices {
		out[i] = NewNotice(n)
	}
	return out
}

// ToPlacement converts the message to the type of package placement.
func (n Notice) ToPlacement() placement.TargetNotice {
	out := placement.TargetNotice{Target: n.Target, StartedUnixMs: n.StartedUnixMs, Leaving: n.Leaving, Pause: time.Duration(n.PauseMs) * time.Millisecond}
	if n.Rate != nil || n.Unlimited {
		out.Limit = placement.LimitNotice{Stated: true, Limited: n.Rate != nil, StatedAgo: time.Duration(n.StatedAgoMs) * time.Millisecond}
	}
	if n.Rate != nil {
		out.Limit.PerSecond = *n.Rate
	}
	return out
}

// BlockedParts lists blocked prompt parts: the ID of each, and the milliseconds until it is tried
// again.
type BlockedParts [][2]uint64

// NewBlockedParts returns the message for blocked parts.
func NewBlockedParts(parts []placement.BlockedPart) BlockedParts {
	out := make(BlockedParts, len(parts))
	for i, p := range parts {
		out[i] = [2]uint64{uint64(p.Part), uint64(p.Remaining.Milliseconds())}
	}
	return out
}

// ToPlacement converts the message to the type of package placement.
func (b BlockedParts) ToPlacement() []placement.BlockedPart {
	out := make([]placement.BlockedPart, len(b))
	for i, p := range b {
		out[i] = placement.BlockedPart{Part: placement.PartID(p[0]), Remaining: time.Duration(p[1]) * time.Millisecond}
	}
	return out
}

// NewRequest returns the message for a request at time now.
func NewRequest(number uint64, w *api.PlacementRequest, now time.Duration) Request {
	return Request{
		Number: number, Service: w.Service, Workspace: w.Workspace,
		Tokens: [2]int{w.PromptTokens, w.ExpectedOutputTokens}, Prompt: encodePrompt(w.Prompt),
		TimesMs:      [4]int64{(w.Objective - now).Milliseconds(), (w.Deadline - now).Milliseconds(), w.Route.Objective.Milliseconds(), callerDeadlineMs(w, now)},
		TriedTargets: w.TriedTargets, Resumed: w.Resumed, Hash: uint32(RequestHash(w)),
	}
}

// PartID hashes the platform's ID of a prompt part. 32 bits keep messages short and
// distinguish far more parts than targets cache.
func PartID(id string) placement.PartID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return placement.PartID(h.Sum32())
}

// RequestHash returns the hash by which the attempts of a model request are recognised; 0 = not known. It depends on
// nothing that comes after the head.
func RequestHash(w *api.PlacementRequest) placement.RequestHash {
	if w.Identity == nil || w.Engine == nil {
		return 0
	}
	h := xxhash.New()
	write := func(n uint64) {
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], n)
		_, _ = h.Write(b[:])
	}
	write(w.Identity.HeadHash())
	write(uint64(w.PromptTokens))
	for _, p := range w.Prompt {
		write(uint64(PartID(p.ID)))
	}
	return placement.RequestHash(max(1, uint32(h.Sum64())))
}

func encodePrompt(prompt []api.PromptPart) [][2]uint64 {
	out := make([][2]uint64, len(prompt))
	for i, p := range prompt {
		out[i] = [2]uint64{uint64(PartID(p.ID)), uint64(p.Tokens)}
	}
	return out
}

func decodePrompt(parts [][2]uint64) []placement.Part {
	out := make([]placement.Part, len(parts))
	for i, p := range parts {
		out[i] = placement.Part{ID: placement.PartID(p[0]), Tokens: int(p[1])}
	}
	return out
}

// ToPlacement converts the message to the owner's type for an entry instance in a data
// centre.
func (r *Request) ToPlacement(dataCentre string) placement.Request {
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	var fingerprint api.Fingerprint
	if r.Fingerprint != nil {
		fingerprint = r.Fingerprint.ToAPI()
	}
	return placement.Request{
		Service: r.Service, Workspace: r.Workspace, DataCentre: dataCentre,
		PromptTokens: r.Tokens[0], OutputTokens: r.Tokens[1], Prompt: decodePrompt(r.Prompt),
		Objective: ms(r.TimesMs[0]), Deadline: ms(r.TimesMs[1]), RouteObjective: ms(r.TimesMs[2]), Tried: r.TriedTargets, Resumes: r.Resumed,
		Plain: r.Plain, Candidates: r.Candidates, Fingerprint: fingerprint, Route: r.Route,
		Hash: placement.RequestHash(r.Hash), CallerDeadline: ms(r.TimesMs[3]),
	}
}

// NewDecision returns the message for a decision. Excess is truncated to hundredths.
func NewDecision(d placement.Decision) Decision {
	return Decision{
		Number: d.Key.Number, Target: d.Target, Metered: d.Metered, Permitted: d.Permitted, Code: d.Code, RetryMs: d.RetryAfter.Milliseconds(),
		WaitMs: d.QueueDelay.Milliseconds(), Excess: float64(int(d.Excess*100)) / 100, UncachedTokens: d.UncachedTokens, ThrottledPerMille: int((1 - d.ForwardShare) * 1000),
		MinUncachedTokens: d.MinUncachedTokens, MinUncachedWaitMs: d.MinUncachedWait.Milliseconds(), IdleTarget: d.IdleTarget, Retry: d.Retry,
		NewVersion: d.NewVersion, ExpectedMs: d.Expected.Milliseconds(),
		FetchFrom: d.FetchFrom, FetchStartedUnixMs: d.FetchStartedUnixMs,
	}
}
