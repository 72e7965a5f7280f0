package soak

import (
	"fmt"
	"time"

	"nutmegrouter/platform/standin"
)

// check compares what callers, targets and operators saw with the promises. Each
// finding is one line.
func (w *world) check(attempts []*attempt) []string {
	found := w.ledger.Broken()
	runs := w.ledger.All()
	sent := map[string]*attempt{}
	for _, a := range attempts {
		sent[a.call.ID] = a
		found = append(found, checkAttempt(a, runs[a.call.ID])...)
	}
	for id, list := range runs {
		a := sent[id]
		if a == nil {
			found = append(found, fmt.Sprintf("%s: run on %s, but no caller sent it", id, list[0].Target))
			continue
		}
		found = append(found, checkRuns(a, list)...)
	}
	return append(found, w.checkBudget(attempts, runs)...)
}

// checkAttempt checks one answer.
func checkAttempt(a *attempt, runs []standin.Run) (found []string) {
	add := func(format string, args ...any) {
		found = append(found, fmt.Sprintf("%s (%s at %s, sent %s): ", a.call.ID, a.route.Name, a.entry.name, a.sentAt.Format("15:04:05.000"))+fmt.Sprintf(format, args...))
	}
	if a.answer.Wrong != "" {
		add("%s", a.answer.Wrong)
	}
	if a.answer.Promises() && len(runs) > 0 && a.answer.Signed == "" && a.route.Kind != "idempotent" {
		add("answered %d, but it was run on %s", a.answer.Status, runs[0].Target)
	}
	if a.answer.Status == 404 || a.answer.Status == 401 {
		add("answered %d, though its route and key were always there", a.answer.Status)
	}
	if over := a.answer.Took - time.Duration(a.route.TimeoutMs)*time.Millisecond; over > 700*time.Millisecond {
		add("no final answer %v after its time limit", over)
	}
	return found
}

// checkRuns checks the runs of one request.
func checkRuns(a *attempt, runs []standin.Run) (found []string) {
	repeatable := a.route.Kind == "idempotent" || a.route.Resumable
	if len(runs) > 1 && !repeatable {
		found = append(found, fmt.Sprintf("%s (%s): run %d times", a.call.ID, a.route.Name, len(runs)))
	}
	targets := map[string]bool{}
	for _, r := range runs {
		targets[r.Target] = true
		if r.Service != a.route.Service {
			found = append(found, fmt.Sprintf("%s (%s): run by service %s", a.call.ID, a.route.Name, r.Service))
		}
		if r.Path != a.call.Path {
			found = append(found, fmt.Sprintf("%s (%s): run with the path %s", a.call.ID, a.route.Name, r.Path))
		}
		if !a.route.Public && r.Workspace == "" {
			found = append(found, fmt.Sprintf("%s (%s): run without its workspace", a.call.ID, a.route.Name))
		}
	}
	if len(targets) > a.route.MaxAttempts {
		found = append(found, fmt.Sprintf("%s (%s): run on %d targets, allowed are %d", a.call.ID, a.route.Name, len(targets), a.route.MaxAttempts))
	}
	return found
}

// checkBudget counts the repeats in each window over all instances.
func (w *world) checkBudget(attempts []*attempt, runs map[string][]standin.Run) (found []string) {
	type at struct {
		t      time.Time
		repeat bool
	}
	events := map[string][]at{}
	for _, a := range attempts {
		events[a.route.Service] = append(events[a.route.Service], at{a.sentAt, false})
		for i, r := range runs[a.call.ID] {
			if i > 0 {
				events[a.route.Service] = append(events[a.route.Service], at{r.At, true})
			}
		}
	}
	for service, list := range events {
		for _, end := range list {
			requests, repeats := 0, 0
			for _, e := range list {
				if d := end.t.Sub(e.t); d >= 0 && d < retryWindow {
					if e.repeat {
						repeats++
					} else {
						requests++
					}
				}
			}
			if limit := retryRatio*float64(requests) + retrySlack; float64(repeats) > limit {
				found = append(found, fmt.Sprintf("%s: %d repeats for %d requests in %v", service, repeats, requests, retryWindow))
				break
			}
		}
	}
	return found
}

// served returns how many attempts of callers that stayed had a whole answer.
func served(attempts []*attempt, from, to time.Time) (ok, all int) {
	for _, a := range attempts {
		if a.left || a.sentAt.Before(from) || a.sentAt.After(to) {
			continue
		}
		all++
		if a.answer.Status == 200 && a.answer.Whole && a.answer.Wrong == "" {
			ok++
		}
	}
	return ok, all
}
