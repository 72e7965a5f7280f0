package main

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"nutmegrouter/internal/adminapi"
	"nutmegrouter/internal/api"
)

// shownRollout is a rollout with what its owner has seen of it.
type shownRollout struct {
	api.Rollout
	// Evidence is that of the owner, the control leader; nil if it has not answered or has none.
	Evidence *rolloutEvidence `json:"evidence,omitempty"`
}

// rolloutEvidence is the evidence in the owner's metrics. It is that of the owner's time in office.
type rolloutEvidence struct {
	Owner string `json:"owner"`
	Phase string `json:"phase"`
	// Granted is the number of requests that this owner has granted to the new version.
	Granted int `json:"granted"`
	// Failed and Slow count responses of the new version, OtherFailed and OtherSlow those of the others.
	Failed      int `json:"failed"`
	Slow        int `json:"slow"`
	OtherFailed int `json:"other_failed"`
	OtherSlow   int `json:"other_slow"`
}

// otherVersions is the version label of the evidence of all versions but the new one.
const otherVersions = "other"

// rolloutPhases names the values of the metric nutmeg_rollout_state.
var rolloutPhases = map[int]string{1: "before", 2: "canary", 3: "moved", 4: "decided", 10: "succeeded", 11: "rolled back"}

// showRollouts prints the newest rollout of each service, or that of one service.
func (t *tool) showRollouts(args []string) error {
	rest, err := t.subflags("rollouts", args, 0, 1, nil)
	if err != nil {
		return err
	}
	ctx, cancel := t.context()
	defer cancel()
	view, err := t.client.View(ctx)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		if _, ok := view.Rollouts[rest[0]]; !ok {
			return fmt.Errorf("service %s has had no rollout", rest[0])
		}
		maps.DeleteFunc(view.Rollouts, func(service string, _ api.Rollout) bool { return service != rest[0] })
	}
	shown := []shownRollout{}
	owner, metrics := t.ownerMetrics()
	for _, service := range slices.Sorted(maps.Keys(view.Rollouts)) {
		r := view.Rollouts[service]
		shown = append(shown, shownRollout{r, evidenceOf(r, owner, metrics)})
	}
	if t.json {
		return t.printJSON(shown)
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tVERSION\tSTATE\tREASON\tDURATION\tSTARTED AT\tREPLACED\tPHASE\tGRANTED\tFAILED\tSLOW\tOTHER FAILED\tOTHER SLOW\tOWNER")
	for _, r := range shown {
		evidence := strings.Repeat("-\t", 6) + "-"
		if e := r.Evidence; e != nil {
			evidence = fmt.Sprintf("%s\t%d\t%d\t%d\t%d\t%d\t%s", e.Phase, e.Granted, e.Failed, e.Slow, e.OtherFailed, e.OtherSlow, e.Owner)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%d\t%s\t%s\n", r.Service, r.Version, r.State, orDash(r.Reason),
			time.Duration(r.DurationMs)*time.Millisecond, r.Started, orDash(strings.Join(r.Replaced, " ")), evidence)
	}
	return w.Flush()
}

// ownerMetrics returns the name and the metrics of the control leader, which is the owner of all rollouts; "" if none
// of the addresses is that of the leader.
func (t *tool) ownerMetrics() (owner, metrics string) {
	for _, s := range t.statusOfAll() {
		if s.Status == nil || s.Status.Control.Role != "leader" {
			continue
		}
		ctx, cancel := t.context()
		defer cancel()
		client := &adminapi.Client{Addresses: []string{s.Address}}
		if text, err := client.Metrics(ctx); err == nil {
			return s.Status.Instance, text
		}
	}
	return "", ""
}

// rolloutMetric matches a line of a metric of a rollout.
var rolloutMetric = regexp.MustCompile(`(?m)^nutmeg_rollout_(\w+)\{service=("(?:[^"\\]|\\.)*"),version=("(?:[^"\\]|\\.)*")\} (\d+)$`)

// evidenceOf returns what the owner's metrics say of a rollout; nil if they have nothing on it.
func evidenceOf(r api.Rollout, owner, metrics string) *rolloutEvidence {
	e, found := &rolloutEvidence{Owner: owner, Phase: "-"}, false
	for _, m := range rolloutMetric.FindAllStringSubmatch(metrics, -1) {
		service, _ := strconv.Unquote(m[2])
		version, _ := strconv.Unquote(m[3])
		value, err := strconv.Atoi(m[4])
		if err != nil || service != r.Service || version != r.Version && version != otherVersions {
			continue
		}
		switch name, other := m[1], version == otherVersions; {
		case name == "state" && !other:
			found, e.Phase = true, rolloutPhases[value]
		case name == "grants_total" && !other:
			found, e.Granted = true, value
		case name == "failed_total" && other:
			e.OtherFailed = value
		case name == "failed_total":
			e.Failed = value
		case name == "slow_total" && other:
			e.OtherSlow = value
		case name == "slow_total":
			e.Slow = value
		}
	}
	if !found {
		return nil
	}
	return e
}
