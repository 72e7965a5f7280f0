package loadgen

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Record is the outcome of one job.
type Record struct {
	Job      *Job
	Verdict  Verdict // of the last attempt; a failed connect is Refused
	Code     string  // error text of the last attempt; "" = none
	Attempts int
	// AllNotRun reports that every attempt was refused as "not run" or never
	// left the client.
	AllNotRun bool
	// Skipped reports that the generator did not send the job, because too many
	// were in flight or the run was cancelled.
	Skipped          bool
	FirstByteLatency time.Duration // from the planned arrival to the first byte; 0 = none
	EndedAfter       time.Duration // from the start of the run to the end of the job
	Latency          time.Duration // from the planned arrival to the end of the job
	gaps             []time.Duration
}

// Progress holds the counts of a run so far.
type Progress struct {
	Elapsed   time.Duration
	Sent      int64            // jobs started, without skipped ones
	Ended     int64            // jobs with a final outcome
	ByVerdict [Wrong + 1]int64 // ended jobs by verdict
}

// Run executes a plan and holds its result.
type Run struct {
	Plan    *Plan
	Start   time.Time // set by Do
	Records []Record  // by planned arrival; complete when Do has returned

	sent, ended atomic.Int64
	byVerdict   [Wrong + 1]atomic.Int64
	inFlight    atomic.Int64
}

// New generates the jobs of a plan. Do starts the run.
func New(p *Plan) *Run {
	jobs := p.Jobs()
	r := &Run{Plan: p, Records: make([]Record, len(jobs))}
	for i := range jobs {
		r.Records[i].Job = &jobs[i]
	}
	return r
}

// Progress returns the counts of the run so far. It may be called at any time.
func (r *Run) Progress() Progress {
	p := Progress{Sent: r.sent.Load(), Ended: r.ended.Load()}
	if !r.Start.IsZero() {
		p.Elapsed = time.Since(r.Start)
	}
	for i := range r.byVerdict {
		p.ByVerdict[i] = r.byVerdict[i].Load()
	}
	return p
}

// Do sends every job at its planned arrival and waits until all have a final
// outcome. If the context is cancelled, it sends no further jobs and attempts, and
// a response in flight counts as lost after its next read.
func (r *Run) Do(ctx context.Context) {
	s := newSender(r.Plan)
	defer s.close()
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	// An entry that becomes ready again may be a new process: idle connections to it
	// lead to the previous one.
	b := newBalancer(r.Plan, func(i int) { s.client(r.Plan.Entries[i]).CloseIdleConnections() })
	b.run(pollCtx)
	maxInFlight := int64(r.Plan.MaxInFlight)
	if maxInFlight == 0 {
		maxInFlight = 20000
	}
	var wg sync.WaitGroup
	r.Start = time.Now()
	for i := range r.Records {
		rec := &r.Records[i]
		if !sleepUntil(ctx, r.Start.Add(rec.Job.At)) || r.inFlight.Load() >= maxInFlight {
			rec.Skipped = true
			continue
		}
		r.sent.Add(1)
		r.inFlight.Add(1)
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer r.inFlight.Add(-1)
			r.runJob(ctx, s, b, rec)
		}()
	}
	wg.Wait()
}

// sleepUntil reports whether the time was reached before the context ended.
func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// runJob makes attempts at a job until it has a final outcome.
func (r *Run) runJob(ctx context.Context, s *sender, b *balancer, rec *Record) {
	j := rec.Job
	body := j.Body()
	rec.AllNotRun = true
	var a attempt
	for {
		addr, release := s.acquireAddr(j, func() int { return b.choose(j.Entry, rec.Attempts) })
		a = s.send(ctx, j, addr, body)
		release()
		rec.Attempts++
		notRun := a.notSent || a.verdict == Refused
		rec.AllNotRun = rec.AllNotRun && notRun
		if a.verdict == Whole || a.verdict == Wrong || rec.Attempts >= r.Plan.Attempts {
			break
		}
		if !sleepUntil(ctx, time.Now().Add(max(a.retryAfter, minRetryInterval))) {
			break
		}
	}
	r.recordOutcome(rec, &a)
}

// minRetryInterval is the minimum delay between two attempts at a job.
const minRetryInterval = 200 * time.Millisecond

// recordOutcome stores the last attempt as the outcome of a job.
func (r *Run) recordOutcome(rec *Record, a *attempt) {
	planned := r.Start.Add(rec.Job.At)
	rec.Verdict, rec.Code, rec.gaps = a.verdict, a.code, a.gaps
	if a.notSent {
		rec.Verdict = Refused // no instance accepted the connection, so the request did not run
	}
	rec.Latency, rec.EndedAfter = time.Since(planned), time.Since(r.Start)
	if !a.firstByte.IsZero() {
		rec.FirstByteLatency = a.firstByte.Sub(planned)
	}
	r.byVerdict[rec.Verdict].Add(1)
	r.ended.Add(1)
}
