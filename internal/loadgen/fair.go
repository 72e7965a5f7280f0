package loadgen

import "time"

// MaxMin returns the max-min fair division of a total: nobody gets more than
// its demand, and what one does not use goes to the others by weight.
func MaxMin(total float64, demand, weight []float64) []float64 {
	out := make([]float64, len(demand))
	full := make([]bool, len(demand))
	for left := total; left > 0; {
		sum := 0.0
		for i := range demand {
			if !full[i] {
				sum += weight[i]
			}
		}
		if sum == 0 {
			return out
		}
		given, filled := 0.0, false
		for i := range demand {
			if full[i] {
				continue
			}
			part := left * weight[i] / sum
			if out[i]+part >= demand[i] {
				part, full[i], filled = demand[i]-out[i], true, true
			}
			out[i] += part
			given += part
		}
		if left -= given; !filled {
			return out
		}
	}
	return out
}

// shares fills Share and Fair of each row for the pool with the most service.
func (out *Report) shares(p *Plan) {
	totals := map[string]float64{}
	for _, r := range out.Rows {
		for pool, s := range r.Service {
			totals[pool] += s
		}
	}
	pool := ""
	for name, t := range totals {
		if pool == "" || t > totals[pool] {
			pool = name
		}
	}
	demand, weight := make([]float64, len(out.Rows)), make([]float64, len(out.Rows))
	for i, r := range out.Rows {
		demand[i], weight[i] = r.Offered[pool], p.Workspaces[i].Weight
	}
	fair := MaxMin(totals[pool], demand, weight)
	for i := range out.Rows {
		if t := totals[pool]; t > 0 {
			out.Rows[i].Share, out.Rows[i].Fair = out.Rows[i].Service[pool]/t, fair[i]/t
		}
	}
}

// Series is a value of each workspace over time.
type Series struct {
	Step   time.Duration
	Values [][]float64 // by step, then workspace
}

// Responses returns the whole responses of a workspace in each step.
func (r *Run) Responses(step time.Duration) Series { return r.series(step, "", false) }

// Service returns the completed cost in a pool in each step.
func (r *Run) Service(step time.Duration, pool string) Series { return r.series(step, pool, true) }

func (r *Run) series(step time.Duration, pool string, cost bool) Series {
	s := Series{Step: step}
	for i := range r.Records {
		rec := &r.Records[i]
		if rec.Skipped || rec.Verdict != Whole || (pool != "" && rec.Job.Kind.Pool != pool) {
			continue
		}
		at := int(rec.Ended / step)
		for len(s.Values) <= at {
			s.Values = append(s.Values, make([]float64, len(r.Plan.Workspaces)))
		}
		add := 1.0
		if cost {
			add = rec.Job.Cost()
		}
		s.Values[at][rec.Job.Workspace] += add
	}
	return s
}

// Gap returns, for each step, the largest difference of service per weight
// between two of the named workspaces since the start of the run, and the
// smallest service per weight among them.
func (s Series) Gap(workspaces []int, weight []float64) (gap, least []float64) {
	sums := make([]float64, len(weight))
	for _, step := range s.Values {
		for w, v := range step {
			sums[w] += v / weight[w]
		}
		low, high := sums[workspaces[0]], sums[workspaces[0]]
		for _, w := range workspaces {
			low, high = min(low, sums[w]), max(high, sums[w])
		}
		gap, least = append(gap, high-low), append(least, low)
	}
	return gap, least
}

// Waiting returns how many requests of a workspace wait for the start of their
// response at each step between two times.
func (r *Run) Waiting(workspace int, from, to, step time.Duration) []int {
	out := make([]int, (to-from)/step)
	for i := range r.Records {
		rec := &r.Records[i]
		if rec.Job.Workspace != workspace || rec.Skipped || rec.Verdict != Whole {
			continue
		}
		for n := max(0, (rec.Job.At-from+step-1)/step); n < time.Duration(len(out)); n++ {
			if from+n*step >= rec.Job.At+rec.FirstToken {
				break
			}
			out[n]++
		}
	}
	return out
}
