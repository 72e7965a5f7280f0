package loadgen

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// Kind is one kind of request in the mix.
type Kind struct {
	Name  string
	Share float64 // relative number of requests
	Class string  // X-Cost-Class, "" = none
	Pool  string
	// Model is set for engines; Least and Most then count tokens, else ms of
	// service time.
	Model       string
	Least, Most int
	BodyBytes   int // padding of the request body
	// Keyed marks non-idempotent calls with an idempotency key.
	Keyed bool
}

// Engine reports whether the kind goes to a model engine.
func (k *Kind) Engine() bool { return k.Model != "" }

// Workspace is one tenant as the generator plays it.
type Workspace struct {
	Name   string
	Key    string
	Weight float64 // weight in the configuration, for the fair share
	Share  float64 // relative number of requests
}

// Plan describes a run. The same plan gives the same requests.
type Plan struct {
	Seed     uint64
	Rate     float64 // requests per second
	Duration time.Duration
	// Entries are the addresses of the instances' listeners.
	Entries []string
	// EntryShares are the relative numbers of requests per entry; nil = equal.
	EntryShares []float64
	// Ready are URLs polled by the load balancer, one per entry; an entry that
	// does not answer 200 receives nothing. nil = all are ready.
	Ready      []string
	Workspaces []Workspace
	Kinds      []Kind
	// Attempts bounds the sends of one request; 0 = 1. A request is sent again
	// only where that is safe: after a refusal that says "not run", if it never
	// left the client, if it is idempotent or if it has a key.
	Attempts int
	// Timeout bounds one attempt; 0 = 60 s.
	Timeout time.Duration
	// Direct maps a pool to target addresses that are called round robin
	// without a router. Entries are then unused.
	Direct map[string][]string
	// DirectSlots bounds the requests under way at each direct target; more
	// wait first in, first out, as behind a plain load balancer. 0 = no bound.
	DirectSlots int
	// MaxInFlight bounds the requests under way; 0 = 20000. Arrivals beyond it
	// are counted as skipped.
	MaxInFlight int
}

// Job is one planned request.
type Job struct {
	At        time.Duration
	Tag       string // unique in the run
	Workspace int
	Entry     int
	Kind      *Kind
	Size      int // tokens or ms
	Hint      float64
}

// hintError is the factor by which callers' cost hints are wrong either way.
const hintError = 5

// Skewed returns n relative shares that fall off as 1/rank^exponent.
func Skewed(n int, exponent float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = 1 / math.Pow(float64(i+1), exponent)
	}
	return out
}

// Jobs returns the arrivals of the plan in order of time.
func (p *Plan) Jobs() []Job {
	rng := rand.New(rand.NewPCG(p.Seed, 1))
	kinds, spaces := make([]float64, len(p.Kinds)), make([]float64, len(p.Workspaces))
	for i := range p.Kinds {
		kinds[i] = p.Kinds[i].Share
	}
	for i := range p.Workspaces {
		spaces[i] = p.Workspaces[i].Share
	}
	entries := p.EntryShares
	if entries == nil {
		entries = Skewed(max(1, len(p.Entries)), 0)
	}
	var out []Job
	for at := 0.0; ; {
		at += rng.ExpFloat64() / p.Rate
		if at >= p.Duration.Seconds() {
			return out
		}
		k := &p.Kinds[pick(rng, kinds)]
		j := Job{At: time.Duration(at * float64(time.Second)), Workspace: pick(rng, spaces), Entry: pick(rng, entries),
			Kind: k, Size: k.Least + rng.IntN(k.Most-k.Least+1)}
		j.Hint = float64(j.Size) * math.Pow(hintError, 2*rng.Float64()-1)
		j.Tag = fmt.Sprintf("%s/%d-%d", p.Workspaces[j.Workspace].Name, p.Seed, len(out))
		out = append(out, j)
	}
}

func pick(rng *rand.Rand, shares []float64) int {
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

// Body returns the request body of the job.
func (j *Job) Body() []byte {
	pad := strings.Repeat("x", j.Kind.BodyBytes)
	if j.Kind.Engine() {
		return fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"user":%q,"messages":[{"role":"user","content":"%s"}]}`,
			j.Kind.Model, j.Size, j.Tag, pad)
	}
	return fmt.Appendf(nil, `{"user":%q,"work_ms":%d,"answer_bytes":256,"note":"%s"}`, j.Tag, j.Size, pad)
}

// path returns the path of the job at a router or, direct, at a target.
func (j *Job) path(direct bool) string {
	switch {
	case j.Kind.Engine():
		return "/v1/chat/completions"
	case direct:
		return "/calls"
	}
	return "/v1/pools/" + j.Kind.Pool + "/calls"
}

// StandardKinds is the mix of section 1: long comparisons, quick answers, short
// labels and plain non-idempotent calls with keys.
func StandardKinds(enginePool, model, servicePool string) []Kind {
	return []Kind{
		{Name: "long", Share: 10, Class: "long", Pool: enginePool, Model: model, Least: 80, Most: 200, BodyBytes: 2000},
		{Name: "quick", Share: 30, Class: "quick", Pool: enginePool, Model: model, Least: 10, Most: 30, BodyBytes: 500},
		{Name: "label", Share: 40, Class: "label", Pool: enginePool, Model: model, Least: 2, Most: 5, BodyBytes: 100},
		{Name: "call", Share: 20, Pool: servicePool, Least: 5, Most: 20, BodyBytes: 100, Keyed: true},
	}
}
