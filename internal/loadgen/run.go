package loadgen

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Record is what became of one job.
type Record struct {
	Job      *Job
	Verdict  Verdict
	Code     string
	Attempts int
	// AllNotRun reports that every attempt was refused as "not run" or never
	// left the client.
	AllNotRun bool
	// Skipped reports that the generator itself shed the job.
	Skipped    bool
	FirstToken time.Duration // from the planned arrival; 0 = none
	Ended      time.Duration // from the start of the run
	Took       time.Duration // from the planned arrival
	gaps       []time.Duration
}

// Progress is the state of a run.
type Progress struct {
	Elapsed time.Duration
	Sent    int64
	Ended   int64
	By      [Wrong + 1]int64
}

// Run holds a run under way or its result.
type Run struct {
	Plan    *Plan
	Start   time.Time
	Records []Record

	sent, ended atomic.Int64
	by          [Wrong + 1]atomic.Int64
	inFlight    atomic.Int64
}

// New prepares a run.
func New(p *Plan) *Run {
	jobs := p.Jobs()
	r := &Run{Plan: p, Records: make([]Record, len(jobs))}
	for i := range jobs {
		r.Records[i].Job = &jobs[i]
	}
	return r
}

// Progress returns the state of the run; it may be called at any time.
func (r *Run) Progress() Progress {
	p := Progress{Sent: r.sent.Load(), Ended: r.ended.Load()}
	if !r.Start.IsZero() {
		p.Elapsed = time.Since(r.Start)
	}
	for i := range r.by {
		p.By[i] = r.by[i].Load()
	}
	return p
}

// Do sends all jobs at their times and waits for every response. A cancelled
// context stops new sends and cuts responses.
func (r *Run) Do(ctx context.Context) {
	s := newSender(r.Plan)
	defer s.close()
	polls, cancel := context.WithCancel(ctx)
	defer cancel()
	// Idle connections to an entry that was away lead to a process that ended.
	b := newBalancer(r.Plan, func(i int) { s.host(r.Plan.Entries[i]).CloseIdleConnections() })
	b.run(polls)
	limit := int64(r.Plan.MaxInFlight)
	if limit == 0 {
		limit = 20000
	}
	var wait sync.WaitGroup
	r.Start = time.Now()
	for i := range r.Records {
		rec := &r.Records[i]
		if !sleepUntil(ctx, r.Start.Add(rec.Job.At)) || r.inFlight.Load() >= limit {
			rec.Skipped = true
			continue
		}
		r.sent.Add(1)
		r.inFlight.Add(1)
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer r.inFlight.Add(-1)
			r.one(ctx, s, b, rec)
		}()
	}
	wait.Wait()
}

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

// one sends a job until it has a final outcome.
func (r *Run) one(ctx context.Context, s *sender, b *balancer, rec *Record) {
	j := rec.Job
	body := j.Body()
	rec.AllNotRun = true
	var a attempt
	for {
		addr, free := s.take(j, func() int { return b.choose(j.Entry, rec.Attempts) })
		a = s.send(ctx, j, addr, body)
		free()
		rec.Attempts++
		notRun := a.unsent || a.verdict == Refused
		rec.AllNotRun = rec.AllNotRun && notRun
		if a.verdict == Whole || a.verdict == Wrong || rec.Attempts >= r.Plan.Attempts {
			break
		}
		if !sleepUntil(ctx, time.Now().Add(max(a.retryAfter, retryPause))) {
			break
		}
	}
	r.settle(rec, &a)
}

// retryPause is the least time between two attempts of a caller.
const retryPause = 200 * time.Millisecond

func (r *Run) settle(rec *Record, a *attempt) {
	due := r.Start.Add(rec.Job.At)
	rec.Verdict, rec.Code, rec.gaps = a.verdict, a.code, a.gaps
	if a.unsent {
		rec.Verdict = Refused // no instance took the connection: certainly not run
	}
	rec.Took, rec.Ended = time.Since(due), time.Since(r.Start)
	if !a.firstByte.IsZero() {
		rec.FirstToken = a.firstByte.Sub(due)
	}
	r.by[rec.Verdict].Add(1)
	r.ended.Add(1)
}
