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
)

const (
	pollEvery = time.Second
	// urgentEvery is the interval of polls of targets that carry work of a dead
	// router, because only their reports free its slots.
	urgentEvery = 250 * time.Millisecond
	pollTimeout = 500 * time.Millisecond
	pollersMost = 128 // polls under way at once
	// idleListEvery is the interval of list polls on an instance without a pool:
	// often enough to know the list at a takeover, and cheap for the platform.
	idleListEvery = 5 * time.Second
	maxLoadBytes  = 64 << 10
	maxListBytes  = 16 << 20
)

type pollTarget struct{ pool, name, address string }

// pollPlan lists the targets of the owned pools.
type pollPlan struct {
	owning  bool
	targets []pollTarget
}

// loadResult is the result of one poll of a target.
type loadResult struct {
	pollTarget
	ok      bool
	refused bool
	report  limits.Report
}

// listResult is an answer of the platform: the names and addresses of leaving
// target instances.
type listResult struct{ leaving []listEntry }

type listEntry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	State   string `json:"state"`
}

type loadAnswer struct {
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
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
	}
}

// pollLoads polls the targets of the owned pools once a second, and at once when
// the plan has changed; urgent ones more often.
func (s *Scheduler) pollLoads(ctx context.Context) error {
	all, urgent := time.NewTicker(pollEvery), time.NewTicker(urgentEvery)
	defer all.Stop()
	defer urgent.Stop()
	targets := s.polled.Load().targets
	for {
		s.pollRound(ctx, targets)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-all.C:
			targets = s.polled.Load().targets
		case <-s.polls:
			targets = s.polled.Load().targets
		case <-urgent.C:
			targets = *s.urgent.Load()
		}
	}
}

// planUrgent lists the targets that carry work of dead routers.
func (s *Scheduler) planUrgent() {
	var out []pollTarget
	for _, p := range s.polled.Load().targets {
		r := s.runs[p.pool]
		if r == nil {
			continue
		}
		if t := r.owner.Limits().Target(p.name); t != nil && t.Orphans() > 0 {
			out = append(out, p)
		}
	}
	s.urgent.Store(&out)
}

func (s *Scheduler) pollRound(ctx context.Context, targets []pollTarget) {
	var g errgroup.Group
	g.SetLimit(pollersMost)
	for _, t := range targets {
		if ctx.Err() != nil {
			break
		}
		g.Go(func() error {
			s.in.Push(input{load: s.pollTarget(t)})
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
		return out
	}
	var a loadAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		s.decode.badLoad.Inc()
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

// get returns the body of a 200 response.
func (s *Scheduler) get(url string, most int) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	if err := s.http.DoTimeout(req, resp, pollTimeout); err != nil {
		return nil, errors.WithMessage(err, "poll "+url)
	}
	if resp.StatusCode() != fasthttp.StatusOK || len(resp.Body()) > most {
		return nil, errors.Errorf("poll %s: status %d, %d bytes", url, resp.StatusCode(), len(resp.Body()))
	}
	return append([]byte(nil), resp.Body()...), nil
}

func (s *Scheduler) onLoad(l *loadResult, now time.Duration) {
	r := s.runs[l.pool]
	if r == nil {
		return
	}
	switch {
	case l.ok:
		r.loads[l.name] = loadState{l.report.Warmth, l.report.Boot}
		r.owner.Limits().Report(l.name, l.report, now)
	case l.refused:
		r.owner.Limits().Refused(l.name, now)
	default:
		r.owner.Limits().Silent(l.name, now)
	}
}

// pollList polls the platform's list: once a second while a pool is owned, and
// at once when the plan has changed.
func (s *Scheduler) pollList(ctx context.Context) error {
	t := time.NewTicker(pollEvery)
	defer t.Stop()
	for last := -idleListEvery; ; {
		if s.polled.Load().owning || s.now()-last >= idleListEvery {
			last = s.now()
			s.pollListOnce()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case <-s.lists:
		}
	}
}

func (s *Scheduler) pollListOnce() {
	body, err := s.get(s.kernel.Settings.PlatformList, maxListBytes)
	if err != nil {
		s.decode.listFailed.Inc()
		return // the last known list is kept
	}
	var all []listEntry
	if err := json.Unmarshal(body, &all); err != nil {
		s.decode.listFailed.Inc()
		return
	}
	out := &listResult{}
	for _, e := range all {
		if e.State == "leaving" {
			out.leaving = append(out.leaving, e)
		}
	}
	s.in.Push(input{list: out})
}

// onList applies the platform's list. Entries are matched by name, or else by
// address.
func (s *Scheduler) onList(l *listResult, now time.Duration) {
	s.listed = now
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
	for _, r := range s.runs {
		r.owner.Limits().SetLeaving(leaving, now)
	}
}
