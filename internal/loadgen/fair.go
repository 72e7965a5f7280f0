package loadgen

import "time"

// MaxMinFairShares returns the weighted max-min fair shares of a total, by participant.
// No share exceeds its demand; what a participant does not use is divided among the
// others in proportion to their weights. All values have the unit of the total.
func MaxMinFairShares(total float64, demand, weight []float64) []float64 {
	allocation := make([]float64, len(demand))
	satisfied := make([]bool, len(demand))
	for remaining := total; remaining > 0; {
		weightSum := 0.0
		for i := range demand {
			if !satisfied[i] {
				weightSum += weight[i]
			}
		}
		if weightSum == 0 {
			return allocation
		}
		allocated, anySatisfied := 0.0, false
		for i := range demand {
			if satisfied[i] {
				continue
			}
			share := remaining * weight[i] / weightSum
			if allocation[i]+share >= demand[i] {
				share, satisfied[i], anySatisfied = demand[i]-allocation[i], true, true
			}
			allocation[i] += share
			allocated += share
		}
		if remaining -= allocated; !anySatisfied {
			return allocation
		}
	}
	return allocation
}

// fillShares sets ServiceShare and FairShare of each row, for the pool with the most
// service.
func (rep *Report) fillShares(p *Plan) {
	totals := map[string]float64{}
	for _, r := range rep.Rows {
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
	demand, weight := make([]float64, len(rep.Rows)), make([]float64, len(rep.Rows))
	for i, r := range rep.Rows {
		demand[i], weight[i] = r.Offered[pool], p.Workspaces[i].Weight
	}
	fair := MaxMinFairShares(totals[pool], demand, weight)
	for i := range rep.Rows {
		if t := totals[pool]; t > 0 {
			rep.Rows[i].ServiceShare, rep.Rows[i].FairShare = rep.Rows[i].Service[pool]/t, fair[i]/t
		}
	}
}

// Series is a value of each workspace per time step since the start of the run.
type Series struct {
	Step   time.Duration
	Values [][]float64 // by step, then by workspace index
}

// Responses returns the number of whole responses of each workspace, by the step in
// which they ended.
func (r *Run) Responses(step time.Duration) Series { return r.sumPerStep(step, "", false) }

// Service returns the cost of the whole responses of each workspace in a pool, in
// cost units (see Job.Cost), by the step in which they ended.
func (r *Run) Service(step time.Duration, pool string) Series { return r.sumPerStep(step, pool, true) }

// sumPerStep counts whole responses, or sums their cost, per step and workspace; an
// empty pool means all pools.
func (r *Run) sumPerStep(step time.Duration, pool string, cost bool) Series {
	s := Series{Step: step}
	for i := range r.Records {
		rec := &r.Records[i]
		if rec.Skipped || rec.Verdict != Whole || (pool != "" && rec.Job.Kind.Pool != pool) {
			continue
		}
		index := int(rec.EndedAfter / step)
		for len(s.Values) <= index {
			s.Values = append(s.Values, make([]float64, len(r.Plan.Workspaces)))
		}
		amount := 1.0
		if cost {
			amount = rec.Job.Cost()
		}
		s.Values[index][rec.Job.Workspace] += amount
	}
	return s
}

// ServiceGap returns two values for each step, both of the service per weight that the
// workspaces with the given indices received from the start of the run to the end
// of the step: the difference between the largest and the smallest, and the
// smallest. weight has an entry for every workspace of the series.
func (s Series) ServiceGap(workspaces []int, weight []float64) (gap, smallest []float64) {
	service := make([]float64, len(weight))
	for _, step := range s.Values {
		for w, v := range step {
			service[w] += v / weight[w]
		}
		lowest, highest := service[workspaces[0]], service[workspaces[0]]
		for _, w := range workspaces {
			lowest, highest = min(lowest, service[w]), max(highest, service[w])
		}
		gap, smallest = append(gap, highest-lowest), append(smallest, lowest)
	}
	return gap, smallest
}

// Backlog returns the backlog of a workspace, sampled once per step between two
// times since the start of the run: the number of requests that had arrived but
// not received their first byte. Only requests with a whole response count.
func (r *Run) Backlog(workspace int, from, to, step time.Duration) []int {
	backlog := make([]int, (to-from)/step)
	for i := range r.Records {
		rec := &r.Records[i]
		if rec.Job.Workspace != workspace || rec.Skipped || rec.Verdict != Whole {
			continue
		}
		for n := max(0, (rec.Job.At-from+step-1)/step); n < time.Duration(len(backlog)); n++ {
			if from+n*step >= rec.Job.At+rec.FirstByteLatency {
				break
			}
			backlog[n]++
		}
	}
	return backlog
}
