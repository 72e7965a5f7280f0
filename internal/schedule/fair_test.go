package schedule

import (
	"fmt"
	"math"
	"testing"
	"time"

	"nutmegrouter/internal/api"
)

var simClasses = []struct {
	class api.CostClass
	cost  float64
}{{api.ClassLabel, 10}, {api.ClassQuick, 100}, {api.ClassLong, 1000}}

const largest = 1000 // cost units

// load keeps a backlog of each workspace at the routers. Router 0 has ten times
// the requests of the others; hints are wrong by a factor of up to 5.
type load struct {
	*sim
	active map[string]bool
}

func (l *load) refill() {
	for ws := range l.weights {
		if !l.active[ws] {
			continue
		}
		for i, r := range l.routers {
			depth := 2
			if i == 0 {
				depth = 20
			}
			for r.alive && r.r.lineLength(ws) < depth {
				l.request(r, ws)
			}
		}
	}
}

func (l *load) request(r *simRouter, ws string) {
	c := simClasses[l.rng.IntN(len(simClasses))]
	cost := math.Min(largest, c.cost*math.Exp(l.rng.NormFloat64()*0.3))
	hint := cost * math.Pow(5, 2*l.rng.Float64()-1)
	r.enqueue(ws, c.class, cost, hint)
}

func (r *Router) lineLength(ws string) int {
	if l := r.lines[ws]; l != nil {
		return l.length()
	}
	return 0
}

func newLoad(seed uint64) *load {
	s := newSim(seed, 7)
	s.addTargets(12, 8, 2, 400)
	l := &load{s, map[string]bool{}}
	for i := range 16 {
		ws := fmt.Sprintf("w%02d", i)
		s.weights[ws] = []float64{1, 1, 2, 4, 8}[i%5]
		l.active[ws] = true
	}
	s.every(50*ms, l.refill)
	s.setOwner("r1")
	return l
}

// spread returns the largest gap in service per weight between two workspaces
// since the snapshot, as a share of the stated target.
func (l *load) spread(now, since map[string]float64, among []string) float64 {
	total, weights := 0.0, 0.0
	for _, ws := range among {
		total += now[ws] - since[ws]
		weights += l.weights[ws]
	}
	worst := 0.0
	for _, a := range among {
		for _, b := range among {
			sa := (now[a] - since[a]) / l.weights[a]
			sb := (now[b] - since[b]) / l.weights[b]
			bound := math.Max(0.05*total/weights, largest/l.weights[a]+largest/l.weights[b])
			worst = math.Max(worst, (sa-sb)/bound)
		}
	}
	return worst
}

// received returns the service that the targets have rendered to each
// workspace, running requests included by what was done of them.
func (l *load) received() map[string]float64 {
	out := map[string]float64{}
	for k, v := range l.done {
		out[k] = v
	}
	for _, t := range l.targets {
		for j := range t.jobs {
			out[j.ws] += math.Min(j.cost, (l.now-j.begun).Seconds()*t.rate)
		}
	}
	return out
}

func (l *load) names() (all []string) {
	for ws := range l.weights {
		all = append(all, ws)
	}
	return all
}

// Guards against unequal service of backlogged workspaces (R1).
func TestFairGap(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		l := newLoad(seed)
		since := l.received()
		for range 6 {
			l.run(5 * time.Second)
			t.Logf("seed %d at %v: gap %.2f of the target", seed, l.now, l.spread(l.received(), since, l.names()))
		}
		for _, f := range l.faulty {
			t.Error(f)
		}
	}
}
