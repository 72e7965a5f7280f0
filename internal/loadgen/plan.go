package loadgen

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// Kind describes one kind of request in the mix.
type Kind struct {
	Name  string
	Share float64 // weight of this kind in the mix
	Class string  // value of the X-Cost-Class header; "" = not sent
	Pool  string
	// Model is set for engine pools only. MinSize and MaxSize bound the size of a
	// request, both inclusive: response tokens for engines, else service time in ms.
	Model            string
	MinSize, MaxSize int
	BodyBytes        int // bytes of padding in the request body
	// Keyed requests are marked as non-idempotent and carry an idempotency key.
	Keyed bool
}

// Engine reports whether the kind goes to a model engine.
func (k *Kind) Engine() bool { return k.Model != "" }

// Workspace is one tenant whose callers the generator simulates.
type Workspace struct {
	Name   string
	Key    string  // bearer key
	Weight float64 // configured weight, for the max-min fair share
	Share  float64 // weight of this workspace in the number of requests
}

// Plan describes a run. Equal plans generate equal requests at equal times.
type Plan struct {
	Seed     uint64
	Rate     float64 // requests per second
	Duration time.Duration
	// Entries are the caller-facing addresses of the entry instances.
	Entries []string
	// EntryShares are the weights of the entries in the number of requests; nil =
	// equal.
	EntryShares []float64
	// Ready are the readiness URLs that the simulated load balancer polls, one per
	// entry. An entry whose response is not 200 receives no requests while another
	// is ready. nil = all are ready.
	Ready      []string
	Workspaces []Workspace
	Kinds      []Kind
	// Attempts is the maximum number of attempts per request; 0 = 1. Any attempt
	// without a whole or wrong response is retried. That is safe after a "not run"
	// refusal, if the request never left the client, if it is idempotent or if it
	// has a key; kinds must therefore be idempotent or Keyed.
	Attempts int
	// Timeout bounds each read of a response, not the whole attempt; 0 = 60 s.
	Timeout time.Duration
	// Direct maps a pool to target addresses that are called round robin,
	// bypassing the router fleet. Entries are then unused.
	Direct map[string][]string
	// DirectSlots bounds the requests in flight at each direct target; more are
	// queued first in, first out, as behind a plain load balancer. 0 = no bound.
	DirectSlots int
	// MaxInFlight bounds the requests in flight; 0 = 20000. Arrivals above the
	// bound are not sent and count as skipped.
	MaxInFlight int
}

// Job is one planned request.
type Job struct {
	At        time.Duration // planned arrival, from the start of the run
	Tag       string        // unique in the run
	Workspace int           // index in Plan.Workspaces
	Entry     int           // index in Plan.Entries of the preferred entry
	Kind      *Kind
	Size      int     // response tokens, or service time in ms
	Hint      float64 // cost hint of the caller, in the unit of Size
}

// hintErrorFactor is the largest factor by which a caller's cost hint is too high or
// too low.
const hintErrorFactor = 5

// Skewed returns n relative shares in a Zipf distribution: 1/rank^exponent.
func Skewed(n int, exponent float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = 1 / math.Pow(float64(i+1), exponent)
	}
	return out
}

// Jobs returns the requests of the plan by planned arrival.
func (p *Plan) Jobs() []Job {
	rng := rand.New(rand.NewPCG(p.Seed, 1))
	kindShares, workspaceShares := make([]float64, len(p.Kinds)), make([]float64, len(p.Workspaces))
	for i := range p.Kinds {
		kindShares[i] = p.Kinds[i].Share
	}
	for i := range p.Workspaces {
		workspaceShares[i] = p.Workspaces[i].Share
	}
	entryShares := p.EntryShares
	if entryShares == nil {
		entryShares = Skewed(max(1, len(p.Entries)), 0)
	}
	var out []Job
	for at := 0.0; ; {
		at += rng.ExpFloat64() / p.Rate
		if at >= p.Duration.Seconds() {
			return out
		}
		k := &p.Kinds[pickWeighted(rng, kindShares)]
		j := Job{At: time.Duration(at * float64(time.Second)), Workspace: pickWeighted(rng, workspaceShares), Entry: pickWeighted(rng, entryShares),
			Kind: k, Size: k.MinSize + rng.IntN(k.MaxSize-k.MinSize+1)}
		j.Hint = float64(j.Size) * math.Pow(hintErrorFactor, 2*rng.Float64()-1)
		j.Tag = fmt.Sprintf("%s/%d-%d", p.Workspaces[j.Workspace].Name, p.Seed, len(out))
		out = append(out, j)
	}
}

// pickWeighted returns a random index with a probability proportional to its share.
func pickWeighted(rng *rand.Rand, shares []float64) int {
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	x := rng.Float64() * sum
	for i, s := range shares {
		if x -= s; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// Body returns the JSON request body of the job.
func (j *Job) Body() []byte {
	padding := strings.Repeat("x", j.Kind.BodyBytes)
	if j.Kind.Engine() {
		return fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"user":%q,"messages":[{"role":"user","content":"%s"}]}`,
			j.Kind.Model, j.Size, j.Tag, padding)
	}
	return fmt.Appendf(nil, `{"user":%q,"work_ms":%d,"answer_bytes":256,"note":"%s"}`, j.Tag, j.Size, padding)
}

// path returns the URL path of the job at an entry instance or, if direct, at a
// target.
func (j *Job) path(direct bool) string {
	switch {
	case j.Kind.Engine():
		return "/v1/chat/completions"
	case direct:
		return "/calls"
	}
	return "/v1/pools/" + j.Kind.Pool + "/calls"
}

// StandardKinds returns the request mix of section 1 of docs/design.md: long
// comparisons, quick answers and short labels for an engine pool, and
// non-idempotent calls with idempotency keys for a service pool.
func StandardKinds(enginePool, model, servicePool string) []Kind {
	return []Kind{
		{Name: "long", Share: 10, Class: "long", Pool: enginePool, Model: model, MinSize: 80, MaxSize: 200, BodyBytes: 2000},
		{Name: "quick", Share: 30, Class: "quick", Pool: enginePool, Model: model, MinSize: 10, MaxSize: 30, BodyBytes: 500},
		{Name: "label", Share: 40, Class: "label", Pool: enginePool, Model: model, MinSize: 2, MaxSize: 5, BodyBytes: 100},
		{Name: "call", Share: 20, Pool: servicePool, MinSize: 5, MaxSize: 20, BodyBytes: 100, Keyed: true},
	}
}
