// Package placewire defines the JSON messages of the placement protocol between entry
// instances and the owner, and converts them to and from the types of package placement.
// JSON keys are short because a message is sent for each request.
package placewire

import (
	"hash/fnv"
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/placement"
)

// Methods of the messages: an entry instance sends Up to the owner, which sends Down back.
const (
	MethodUp   = "place.up"
	MethodDown = "place.down"
)

// Ask is a request that needs a target. Number identifies it on its entry instance.
type Ask struct {
	Number    uint64      `json:"n"`
	Service   string      `json:"s"`
	Workspace string      `json:"w,omitempty"`
	Tokens    [2]int      `json:"k"`           // of the prompt, and the estimate of those generated
	Prompt    [][2]uint64 `json:"p,omitempty"` // PartID and tokens of each prompt part
	Ms        [3]int64    `json:"d"`           // time to the objective, time to the deadline, and the route's objective
	Tried     []string    `json:"t,omitempty"` // IDs of the targets of earlier attempts
	Resumes   bool        `json:"r,omitempty"` // a stream that was already begun is resumed
}

// Running is a request that runs on a target. Target is the target's ID; Began reports
// whether the first byte of the response was received.
type Running struct {
	Ask
	Target string `json:"a"`
	Began  bool   `json:"b,omitempty"`
	// AgoMs is the time since the request was sent to the target, in milliseconds.
	AgoMs int64 `json:"g,omitempty"`
}

// End reports how the use of a target for a request ended.
type End struct {
	Number  uint64             `json:"n"`
	Outcome api.AttemptOutcome `json:"o"`
}

// Up is a message of an entry instance to the owner.
type Up struct {
	Term       uint64 `json:"t"`
	DataCentre string `json:"z"`
	// Whole reports that the message describes the full state of this entry instance: the
	// owner discards its earlier state of it.
	Whole   bool      `json:"w,omitempty"`
	Asks    []Ask     `json:"a,omitempty"`
	Running []Running `json:"r,omitempty"`
	Began   []uint64  `json:"b,omitempty"` // numbers of requests whose response has begun
	Ends    []End     `json:"e,omitempty"`
	// Refused lists the requests that the entry instance refused for its throttled
	// workspaces without asking the owner, by workspace.
	Refused map[string][]Refused `json:"x,omitempty"`
	// TurnedAway is the number of tokens of the requests that the entry instance shed for
	// lack of processor time or memory, by workspace. The tokens count as in Tokens.
	TurnedAway map[string]int `json:"y,omitempty"`
}

// Refused is a request that an entry instance refused: its tokens as returned by Tokens, the
// ID of its last prompt part, and the milliseconds to its objective.
type Refused [3]int64

// Tokens returns the tokens of a request as they count towards its workspace's share: a
// prompt token counts once, a generated token twice.
func Tokens(w *api.PlacementRequest) int { return w.PromptTokens + 2*w.ExpectedOutputTokens }

// NewRefused returns the message for a request that was refused at time now.
func NewRefused(w *api.PlacementRequest, now time.Duration) Refused {
	return Refused{int64(Tokens(w)), int64(OwnPart(w.Prompt)), (w.Objective - now).Milliseconds()}
}

// Tokens returns the tokens of the request as they count towards its workspace's share.
func (r Refused) Tokens() int { return int(r[0]) }

// Own returns the ID of the prompt part that only this request has; 0 = none.
func (r Refused) Own() placement.PartID { return placement.PartID(r[1]) }

// Objective returns the time from the refusal to the request's objective.
func (r Refused) Objective() time.Duration { return time.Duration(r[2]) * time.Millisecond }

// Grant is the owner's decision on an Ask. Without a Target it is a refusal with Code, and
// RetryMs is when the caller should retry, in milliseconds.
type Grant struct {
	Number  uint64 `json:"n"`
	Target  string `json:"a,omitempty"`
	Code    string `json:"c,omitempty"`
	RetryMs int64  `json:"r,omitempty"`
	// WaitMs, Excess and Missing are inputs of the decision, for the log: the wait for a
	// target in milliseconds, by how much the workspace exceeds its share, and the uncached
	// tokens of the prompt on the target.
	WaitMs  int64   `json:"w,omitempty"`
	Excess  float64 `json:"x,omitempty"`
	Missing int     `json:"m,omitempty"`
	// HeldBack is the throttled share of the workspace's requests, which the entry instance
	// refuses from now on without asking the owner, in thousandths.
	HeldBack int `json:"h,omitempty"`
	// Least is the number of uncached tokens on the target that has the fewest, LeastWaitMs
	// the wait for that target in milliseconds.
	Least       int   `json:"l,omitempty"`
	LeastWaitMs int64 `json:"y,omitempty"`
	// Term is the owner's term, set by the receiver; it is not sent.
	Term uint64 `json:"-"`
}

// Pass returns the share of the workspace's requests that is not throttled, from 0 to 1: for
// these the entry instance asks the owner.
func (g *Grant) Pass() float64 { return 1 - float64(g.HeldBack)/1000 }

// Down is a message of the owner to an entry instance. One without grants and without Not is
// a heartbeat.
type Down struct {
	Term uint64 `json:"t"`
	// Not reports that the sender is not the owner in this term.
	Not    bool    `json:"x,omitempty"`
	Grants []Grant `json:"g,omitempty"`
}

// NewAsk returns the message for a request at time now.
func NewAsk(number uint64, w *api.PlacementRequest, now time.Duration) Ask {
	return Ask{
		Number: number, Service: w.Service, Workspace: w.Workspace,
		Tokens: [2]int{w.PromptTokens, w.ExpectedOutputTokens}, Prompt: encodePrompt(w.Prompt),
		Ms:    [3]int64{(w.Objective - now).Milliseconds(), (w.Deadline - now).Milliseconds(), w.Route.Objective.Milliseconds()},
		Tried: w.TriedTargets, Resumes: w.Resumed,
	}
}

// PartID hashes the platform's ID of a prompt part. 32 bits keep messages short and
// distinguish far more parts than targets cache.
func PartID(id string) placement.PartID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return placement.PartID(h.Sum32())
}

// OwnPart returns the ID of a prompt's last part, which only its request has; 0 = none.
func OwnPart(prompt []api.PromptPart) placement.PartID {
	if len(prompt) == 0 {
		return 0
	}
	return PartID(prompt[len(prompt)-1].ID)
}

func encodePrompt(prompt []api.PromptPart) [][2]uint64 {
	out := make([][2]uint64, len(prompt))
	for i, p := range prompt {
		out[i] = [2]uint64{uint64(PartID(p.ID)), uint64(p.Tokens)}
	}
	return out
}

// Ask converts the message to the owner's type for an entry instance in a data centre.
func (a *Ask) Ask(dataCentre string) placement.Request {
	prompt := make([]placement.Part, len(a.Prompt))
	for i, p := range a.Prompt {
		prompt[i] = placement.Part{ID: placement.PartID(p[0]), Tokens: int(p[1])}
	}
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	return placement.Request{
		Service: a.Service, Workspace: a.Workspace, DataCentre: dataCentre,
		PromptTokens: a.Tokens[0], OutputTokens: a.Tokens[1], Prompt: prompt,
		Objective: ms(a.Ms[0]), Deadline: ms(a.Ms[1]), RouteObjective: ms(a.Ms[2]), Tried: a.Tried, Resumes: a.Resumes,
	}
}

// NewGrant returns the message for a decision. Excess is truncated to hundredths.
func NewGrant(d placement.Decision) Grant {
	return Grant{
		Number: d.Key.Number, Target: d.Target, Code: d.Code, RetryMs: d.RetryAfter.Milliseconds(),
		WaitMs: d.QueueDelay.Milliseconds(), Excess: float64(int(d.Excess*100)) / 100, Missing: d.UncachedTokens, HeldBack: int((1 - d.ForwardShare) * 1000),
		Least: d.MinUncachedTokens, LeastWaitMs: d.MinUncachedWait.Milliseconds(),
	}
}
