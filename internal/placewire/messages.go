// Package placewire holds the messages between entry instances and the owner of
// the placements, and their translation to and from package placement. Field
// names are short because a message is sent for each request.
package placewire

import (
	"hash/fnv"
	"time"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/placement"
)

// Methods between instances.
const (
	MethodUp   = "place.up"
	MethodDown = "place.down"
)

// Ask is a request that needs a target.
type Ask struct {
	Number    uint64      `json:"n"`
	Service   string      `json:"s"`
	Workspace string      `json:"w,omitempty"`
	Tokens    [2]int      `json:"k"` // of the prompt, and the guess of those generated
	Prompt    [][2]uint64 `json:"p,omitempty"`
	Ms        [3]int64    `json:"d"` // objective left, time left, whole objective
	Tried     []string    `json:"t,omitempty"`
	Resumes   bool        `json:"r,omitempty"`
}

// Running is a request that runs on a target.
type Running struct {
	Ask
	Target string `json:"a"`
	Began  bool   `json:"b,omitempty"`
	// AgoMs is how long ago it was sent to the target.
	AgoMs int64 `json:"g,omitempty"`
}

// End is the end of a request.
type End struct {
	Number  uint64          `json:"n"`
	Outcome api.WorkOutcome `json:"o"`
}

// Up is what an entry instance tells the owner.
type Up struct {
	Term       uint64 `json:"t"`
	DataCentre string `json:"z"`
	// Whole begins anew: the owner forgets what it knew of this entry instance.
	Whole   bool      `json:"w,omitempty"`
	Asks    []Ask     `json:"a,omitempty"`
	Running []Running `json:"r,omitempty"`
	Began   []uint64  `json:"b,omitempty"`
	Ends    []End     `json:"e,omitempty"`
	// Refused are the requests that the entry instance refused by itself, by workspace.
	Refused map[string][]Refused `json:"x,omitempty"`
	// TurnedAway are the tokens of requests that the entry instance refused for want of
	// processor time or memory, by workspace.
	TurnedAway map[string]int `json:"y,omitempty"`
}

// Refused is a request that an entry instance refused: its tokens as the share counts
// them, the last part of its prompt, and the milliseconds until its first event is due.
type Refused [3]int64

// Tokens returns the tokens of a request as the share counts them: read once, generated
// twice.
func Tokens(w *api.Work) int { return w.PromptTokens + 2*w.OutputTokens }

// NewRefused describes a refused request.
func NewRefused(w *api.Work, now time.Duration) Refused {
	return Refused{int64(Tokens(w)), int64(OwnPart(w.Prompt)), (w.Objective - now).Milliseconds()}
}

// Tokens returns the tokens of the request as the share counts them.
func (r Refused) Tokens() int { return int(r[0]) }

// Own returns the part of the prompt that belongs to the request alone.
func (r Refused) Own() placement.PartID { return placement.PartID(r[1]) }

// Objective returns the time until the first event is due.
func (r Refused) Objective() time.Duration { return time.Duration(r[2]) * time.Millisecond }

// Grant answers an ask. Without a target it is a refusal.
type Grant struct {
	Number  uint64 `json:"n"`
	Target  string `json:"a,omitempty"`
	Code    string `json:"c,omitempty"`
	RetryMs int64  `json:"r,omitempty"`
	// WaitMs, Excess and Missing are the inputs of the decision, for the log.
	WaitMs  int64   `json:"w,omitempty"`
	Excess  float64 `json:"x,omitempty"`
	Missing int     `json:"m,omitempty"`
	// HeldBack is the part of the workspace's requests that the entry instance refuses
	// by itself from now on, in thousandths.
	HeldBack int `json:"h,omitempty"`
	// Least and LeastWaitMs describe the target that would have to read least.
	Least       int   `json:"l,omitempty"`
	LeastWaitMs int64 `json:"y,omitempty"`
	// Term is the owner's; it is not sent.
	Term uint64 `json:"-"`
}

// Pass returns the part of the workspace's requests that the owner is to be asked for.
func (g *Grant) Pass() float64 { return 1 - float64(g.HeldBack)/1000 }

// Down is what the owner tells an entry instance. One without grants tells that
// the owner is there.
type Down struct {
	Term uint64 `json:"t"`
	// Not tells that the sender is not the owner in this term.
	Not    bool    `json:"x,omitempty"`
	Grants []Grant `json:"g,omitempty"`
}

// NewAsk makes the message for a request.
func NewAsk(number uint64, w *api.Work, now time.Duration) Ask {
	return Ask{
		Number: number, Service: w.Service, Workspace: w.Workspace,
		Tokens: [2]int{w.PromptTokens, w.OutputTokens}, Prompt: parts(w.Prompt),
		Ms:    [3]int64{(w.Objective - now).Milliseconds(), (w.Deadline - now).Milliseconds(), w.Route.Objective.Milliseconds()},
		Tried: w.Tried, Resumes: w.Resumes,
	}
}

// PartID hashes the platform's name of a prompt part. 32 bits keep messages short
// and tell apart far more parts than targets keep.
func PartID(id string) placement.PartID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return placement.PartID(h.Sum32())
}

// OwnPart returns the part of a prompt that belongs to its request alone; 0 = none.
func OwnPart(prompt []api.PromptPart) placement.PartID {
	if len(prompt) == 0 {
		return 0
	}
	return PartID(prompt[len(prompt)-1].ID)
}

func parts(prompt []api.PromptPart) [][2]uint64 {
	out := make([][2]uint64, len(prompt))
	for i, p := range prompt {
		out[i] = [2]uint64{uint64(PartID(p.ID)), uint64(p.Tokens)}
	}
	return out
}

// Ask returns the request as the owner takes it.
func (a *Ask) Ask(dataCentre string) placement.Ask {
	prompt := make([]placement.Part, len(a.Prompt))
	for i, p := range a.Prompt {
		prompt[i] = placement.Part{ID: placement.PartID(p[0]), Tokens: int(p[1])}
	}
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	return placement.Ask{
		Service: a.Service, Workspace: a.Workspace, DataCentre: dataCentre,
		PromptTokens: a.Tokens[0], OutputTokens: a.Tokens[1], Prompt: prompt,
		Objective: ms(a.Ms[0]), Last: ms(a.Ms[1]), Allowed: ms(a.Ms[2]), Tried: a.Tried, Resumes: a.Resumes,
	}
}

// NewGrant makes the message for a decision.
func NewGrant(d placement.Decision) Grant {
	return Grant{
		Number: d.Key.Number, Target: d.Target, Code: d.Code, RetryMs: d.RetryAfter.Milliseconds(),
		WaitMs: d.Wait.Milliseconds(), Excess: float64(int(d.Excess*100)) / 100, Missing: d.Missing, HeldBack: int((1 - d.Pass) * 1000),
		Least: d.Least, LeastWaitMs: d.LeastWait.Milliseconds(),
	}
}
