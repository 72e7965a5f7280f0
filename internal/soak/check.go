package soak

import (
	"context"
	"fmt"
	"slices"
	"time"

	"nutmegrouter/platform/standin"
)

// findViolations checks the recorded requests and the runs at the targets against
// the fleet's guarantees. Each violation is one line.
func (h *harness) findViolations(ctx context.Context, requests []*request) []string {
	violations := h.runLog.Violations()
	runs := h.runLog.All()
	byID := map[string]*request{}
	for _, req := range requests {
		byID[req.call.ID] = req
		violations = append(violations, checkResponse(req, runs[req.call.ID])...)
	}
	for id, list := range runs {
		req := byID[id]
		if req == nil {
			violations = append(violations, fmt.Sprintf("%s: ran on %s, but no caller sent it", id, list[0].Target))
			continue
		}
		violations = append(violations, checkRuns(req, list)...)
	}
	violations = append(violations, checkDeadly(requests, runs)...)
	violations = append(violations, h.checkNotices(byID)...)
	violations = append(violations, h.checkRollouts(ctx, byID)...)
	return append(violations, h.checkRetryBudget(requests, runs)...)
}

const (
	// noticeSlack is how long after a bound on requests to a leaving target a caller's request may still
	// have been on its way.
	noticeSlack = 300 * time.Millisecond
	// pauseGrace is the time after which a pause binds an entry instance; maxInPause requests may reach
	// the target within it all the same.
	pauseGrace = 500 * time.Millisecond
	maxInPause = 2
)

// checkNotices checks that entry instances send nothing to targets that have told them to be leaving or
// to want a pause. A restart or suspension of the instance since then excuses it.
func (h *harness) checkNotices(byID map[string]*request) (violations []string) {
	type pair struct{ entry, target string }
	arrivals := map[pair][]standin.Arrival{}
	for _, a := range h.runLog.Arrivals() {
		if req := byID[a.Request]; req != nil {
			p := pair{req.entry.name, a.Target}
			arrivals[p] = append(arrivals[p], a)
		}
	}
	for p, list := range arrivals {
		for i, told := range list {
			if !told.Leaving && told.Pause == 0 {
				continue
			}
			inPause := 0
			for _, a := range list[i+1:] {
				if h.wasDisturbed(p.entry, told.At, a.At) {
					break
				}
				sentAfter := byID[a.Request].sentAt.Sub(told.At)
				if told.Leaving && sentAfter > leaveMs*time.Millisecond+noticeSlack {
					violations = append(violations, fmt.Sprintf("%s: %s reached %s, %v after that has told %s that it leaves", a.Request, p.entry, p.target, sentAfter, p.entry))
					break
				}
				if after := a.At.Sub(told.At); told.Pause > 0 && after > pauseGrace && after < told.Pause {
					inPause++
				}
			}
			if inPause > maxInPause {
				violations = append(violations, fmt.Sprintf("%s: %d requests of %s within the pause that it asked for with %s", p.target, inPause, p.entry, told.Request))
			}
		}
	}
	return violations
}

// Bounds on a request that crashes its targets: so long after its third crash, it reaches targets in at
// most maxLateDeadly repeats.
const (
	deadlyCrashes = 3
	deadlyGrace   = 3 * time.Second
	maxLateDeadly = 3
)

// checkDeadly checks how often requests reached targets that they had crashed deadlyCrashes of.
func checkDeadly(requests []*request, runs map[string][]standin.Run) (violations []string) {
	byPath := map[string][]time.Time{}
	for _, req := range requests {
		if req.deadly {
			for _, run := range runs[req.call.ID] {
				byPath[req.call.Path] = append(byPath[req.call.Path], run.At)
			}
		}
	}
	for path, times := range byPath {
		if len(times) <= deadlyCrashes {
			continue
		}
		slices.SortFunc(times, time.Time.Compare)
		late := 0
		for _, at := range times {
			if at.Sub(times[deadlyCrashes-1]) > deadlyGrace {
				late++
			}
		}
		if late > maxLateDeadly {
			violations = append(violations, fmt.Sprintf("%s: crashed %d targets, %d later than %v after the third", path, len(times), late, deadlyGrace))
		}
	}
	return violations
}

// checkResponse checks the response to one request: its content, that the request did
// not run if the status promises so and no target signed the response, and that the
// response ended at most 700 ms after the route's time limit. Idempotent requests may
// have run in an earlier attempt.
func checkResponse(req *request, runs []standin.Run) (violations []string) {
	add := func(format string, args ...any) {
		violations = append(violations, fmt.Sprintf("%s (%s at %s, sent %s): ", req.call.ID, req.route.Name, req.entry.name, req.sentAt.Format("15:04:05.000"))+fmt.Sprintf(format, args...))
	}
	if req.response.ContentError != "" {
		add("%s", req.response.ContentError)
	}
	if req.response.GuaranteesNotRun() && len(runs) > 0 && req.response.Stamp == "" && req.route.Kind != "idempotent" {
		add("status %d promises that the request did not run, but it ran on %s", req.response.Status, runs[0].Target)
	}
	if req.response.Status == 404 || req.response.Status == 401 {
		add("status %d, although the route and the key were always configured", req.response.Status)
	}
	if overrun := req.response.Elapsed - time.Duration(req.route.TimeoutMs)*time.Millisecond; overrun > 700*time.Millisecond {
		add("response ended %v after its deadline", overrun)
	}
	return violations
}

// checkRuns checks the runs of one request at the targets: their number, service, path
// and workspace.
func checkRuns(req *request, runs []standin.Run) (violations []string) {
	retryable := req.route.Kind == "idempotent" || req.route.Resumable
	if len(runs) > 1 && !retryable {
		violations = append(violations, fmt.Sprintf("%s (%s): ran %d times, but must not be retried", req.call.ID, req.route.Name, len(runs)))
	}
	targets := map[string]bool{}
	for _, run := range runs {
		targets[run.Target] = true
		if run.Service != req.route.Service {
			violations = append(violations, fmt.Sprintf("%s (%s): ran on service %s", req.call.ID, req.route.Name, run.Service))
		}
		if run.Path != req.call.Path {
			violations = append(violations, fmt.Sprintf("%s (%s): ran with the path %s", req.call.ID, req.route.Name, run.Path))
		}
		if !req.route.Public && run.Workspace == "" {
			violations = append(violations, fmt.Sprintf("%s (%s): ran without its workspace", req.call.ID, req.route.Name))
		}
	}
	if len(targets) > req.route.MaxAttempts {
		violations = append(violations, fmt.Sprintf("%s (%s): ran on %d targets, want at most %d", req.call.ID, req.route.Name, len(targets), req.route.MaxAttempts))
	}
	return violations
}

// checkRetryBudget checks the retry budget of each service over all instances. It
// slides a window of retryWindow over the requests and their runs; every run of a
// request after its first counts as a retry.
func (h *harness) checkRetryBudget(requests []*request, runs map[string][]standin.Run) (violations []string) {
	type event struct {
		t     time.Time
		retry bool
	}
	eventsByService := map[string][]event{}
	for _, req := range requests {
		eventsByService[req.route.Service] = append(eventsByService[req.route.Service], event{req.sentAt, false})
		for i, run := range runs[req.call.ID] {
			if i > 0 {
				eventsByService[req.route.Service] = append(eventsByService[req.route.Service], event{run.At, true})
			}
		}
	}
	for service, list := range eventsByService {
		for _, last := range list {
			requestCount, retryCount := 0, 0
			for _, e := range list {
				if age := last.t.Sub(e.t); age >= 0 && age < retryWindow {
					if e.retry {
						retryCount++
					} else {
						requestCount++
					}
				}
			}
			if limit := retryRatio*float64(requestCount) + retrySlack; float64(retryCount) > limit {
				violations = append(violations, fmt.Sprintf("%s: %d retries for %d requests in %v", service, retryCount, requestCount, retryWindow))
				break
			}
		}
	}
	return violations
}

// countServed counts the requests sent from one time to another whose callers did not
// disconnect, and those of them that got a complete, correct response of status 200.
func countServed(requests []*request, from, to time.Time) (servedCount, total int) {
	for _, req := range requests {
		if req.disconnects || req.deadly || req.sentAt.Before(from) || req.sentAt.After(to) {
			continue
		}
		total++
		if req.response.Status == 200 && req.response.Complete && req.response.ContentError == "" {
			servedCount++
		}
	}
	return servedCount, total
}
