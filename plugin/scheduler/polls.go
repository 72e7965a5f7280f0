package scheduler

import (
	"context"
	"encoding/json"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/limits"
	"nutmegrouter/internal/responsehead"
)

const (
	pollInterval = time.Second
	// urgentPollInterval is the interval of polls of targets that run work of a failed
	// instance, because only load reports free the slots of that work.
	urgentPollInterval = 250 * time.Millisecond
	pollTimeout        = 500 * time.Millisecond
	maxConcurrentPolls = 128
	// idleListInterval is the interval of list polls on an instance that owns no pool. The
	// list is then known at a takeover, at little cost for the platform.
	idleListInterval = 5 * time.Second
	maxLoadBytes     = 64 << 10
	maxListBytes     = 16 << 20
)

type pollTarget struct{ pool, name, address string }

// pollPlan lists the targets of the owned pools. owning is set if the instance owns a pool.
type pollPlan struct {
	owning  bool
	targets []pollTarget
}

// loadResult is the result of one poll of a target: a report if ok is set, or a refused or
// reset connection if refused is set, or else no usable response.
type loadResult struct {
	pollTarget
	ok      bool
	refused bool
	report  limits.Report
}

// listResult holds the leaving target instances of the platform's list.
type listResult struct{ leaving []listEntry }

// listEntry is a target instance in the platform's list.
type listEntry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// loadResponse is the body of a target's response to GET /load.
type loadResponse struct {
	State   string `json:"state"`
	Boot    uint64 `json:"boot"`
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
}

func newHTTP() *fasthttp.Client {
	return &fasthttp.Client{
		ReadTimeout: pollTimeout, WriteTimeout: pollTimeout,
		MaxResponseBodySize:       maxListBytes,
		MaxIdemponentCallAttempts: 1,
		DialTimeout:               responsehead.DialTimeout,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
	}
}

// pollLoads polls the targets of the owned pools every pollInterval and when the plan has
// changed, and the urgent targets every urgentPollInterval.
func (s *Scheduler) pollLoads(ctx context.Context) error {
	all, urgent := time.NewTicker(pollInterval), time.NewTicker(urgentPollInterval)
	defer all.Stop()
	defer urgent.Stop()
	targets := s.plan.Load().targets
	for {
		s.pollRound(ctx, targets)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-all.C:
			targets = s.plan.Load().targets
		case <-s.pollSignal:
			targets = s.plan.Load().targets
		case <-urgent.C:
			targets = *s.urgentTargets.Load()
		}
	}
}

// planUrgent sets the targets that run work of failed instances as urgent ones.
func (s *Scheduler) planUrgent() {
	var out []pollTarget
	for _, p := range s.plan.Load().targets {
		op := s.owned[p.pool]
		if op == nil {
			continue
		}
		if t := op.owner.Targets().Target(p.name); t != nil && t.Orphans() > 0 {
			out = append(out, p)
		}
	}
	s.urgentTargets.Store(&out)
}

// pollRound polls targets concurrently and queues the results for the worker.
func (s *Scheduler) pollRound(ctx context.Context, targets []pollTarget) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentPolls)
	for _, t := range targets {
		if ctx.Err() != nil {
			break
		}
		g.Go(func() error {
			s.inbox.Push(input{load: s.pollTarget(t)})
			return nil
		})
	}
	_ = g.Wait()
}

func (s *Scheduler) pollTarget(t pollTarget) *loadResult {
	out := &loadResult{pollTarget: t}
	body, err := s.get("http://"+t.address+"/load", maxLoadBytes)
	if err != nil {
		out.refused = errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
		if errors.Is(err, responsehead.ErrMalformed) {
			s.failures.badLoadReports.Inc()
		}
		return out
	}
	var a loadResponse
	if err := json.Unmarshal(body, &a); err != nil {
		s.failures.badLoadReports.Inc()
		return out
	}
	out.ok = true
	out.report = limits.Report{Boot: a.Boot, Running: a.Running, Queued: a.Queued}
	switch w := api.Warmth(a.State); w {
	case api.WarmthWarm, api.WarmthCold:
		out.report.Warmth = w
	}
	return out
}

// get returns a copy of the body of a 200 response of at most maxBytes.
func (s *Scheduler) get(url string, maxBytes int) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	if err := s.http.DoTimeout(req, resp, pollTimeout); err != nil {
		return nil, errors.WithMessage(err, "poll "+url)
	}
	if resp.StatusCode() != fasthttp.StatusOK || len(resp.Body()) > maxBytes {
		return nil, errors.Errorf("poll %s: status %d, %d bytes", url, resp.StatusCode(), len(resp.Body()))
	}
	return append([]byte(nil), resp.Body()...), nil
}

// onLoad applies the result of a load poll to the limits of the target.
func (s *Scheduler) onLoad(l *loadResult, now time.Duration) {
	op := s.owned[l.pool]
	if op == nil {
		return
	}
	switch {
	case l.ok:
		op.loadStates[l.name] = loadState{l.report.Warmth, l.report.Boot}
		op.owner.Targets().Report(l.name, l.report, now)
	case l.refused:
		op.owner.Targets().ConnectionRefused(l.name, now)
	default:
		op.owner.Targets().PollFailed(l.name, now)
	}
}

// pollList polls the platform's list every pollInterval while the instance owns a pool, else
// every idleListInterval. A change of the plan causes a poll at once while a pool is owned.
func (s *Scheduler) pollList(ctx context.Context) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for last := -idleListInterval; ; {
		if s.plan.Load().owning || s.now()-last >= idleListInterval {
			last = s.now()
			s.pollListOnce()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case <-s.listSignal:
		}
	}
}

func (s *Scheduler) pollListOnce() {
	body, err := s.get(s.kernel.Settings.PlatformList, maxListBytes)
	if err != nil {
		s.failures.listFailures.Inc()
		return // the last known list is kept
	}
	var all []listEntry
	if err := json.Unmarshal(body, &all); err != nil {
		s.failures.listFailures.Inc()
		return
	}
	out := &listResult{}
	for _, e := range all {
		if e.State == "leaving" {
			out.leaving = append(out.leaving, e)
		}
	}
	s.inbox.Push(input{list: out})
}

// onList applies the platform's list. An entry matches a target by name or by address.
func (s *Scheduler) onList(l *listResult, now time.Duration) {
	s.listReadAt = now
	names, addresses := map[string]bool{}, map[string]bool{}
	for _, e := range l.leaving {
		names[e.Name], addresses[e.Address] = true, true
	}
	leaving := map[string]bool{}
	if v := s.fleet.View(); v.Config != nil {
		for _, t := range v.Config.Targets {
			if names[t.Name] || addresses[t.Address] {
				leaving[t.Name] = true
			}
		}
	}
	s.leaving = leaving
	for _, op := range s.owned {
		op.owner.Targets().SetLeaving(leaving, now)
	}
}
