package fleetstate

import (
	"fmt"

	"nutmegrouter/internal/api"
)

// rollout is the newest rollout of a service, with what only the control log needs of it.
type rollout struct {
	api.Rollout
	StartID string `json:"start_id"` // change id of the start
	// StartedMs is the time of the log at the start, Unix time in milliseconds; 0 in snapshots of earlier builds.
	StartedMs int64 `json:"started_ms,omitempty"`
	// Ended is the revision at which it ended; 0 = it runs.
	Ended   uint64             `json:"ended,omitempty"`
	EndID   string             `json:"end_id,omitempty"` // change id of the end
	Account api.RolloutAccount `json:"account"`
}

// repeatWindowMs is the time after the start of a rollout for which the same order repeats it, even if it has ended. An
// operator who gets no response sends the order again for 5 s, and the call may take another second. A bad version can
// be rolled back within a second, and the repeated order must not start it again. The rest is for differences between
// the clocks of leaders.
const repeatWindowMs = 7000

// RolloutAccounts returns the accounts of the running rollouts by service.
func (s *State) RolloutAccounts() map[string]api.RolloutAccount {
	out := map[string]api.RolloutAccount{}
	for service, r := range s.rollouts {
		if r.State == api.RolloutRunning {
			out[service] = r.Account
		}
	}
	return out
}

// applyRollout starts or ends a rollout.
func (s *State) applyRollout(c *Submit) api.SubmitResult {
	if c.Rollout.Ends != 0 {
		return s.endRollout(c)
	}
	return s.startRollout(c)
}

// startRollout starts a rollout. A start that repeats the newest rollout of the service is accepted and
// changes nothing: the same order while it runs or within repeatWindowMs, a message of the order that was delayed
// beyond its end, and an order for the version to which the service has moved already. A start conflicts with another
// rollout that runs, and with one that started or ended after the start was ordered.
func (s *State) startRollout(c *Submit) api.SubmitResult {
	order := c.Rollout
	if order.Service == "" || order.Version == "" || order.DurationMs <= 0 {
		return api.SubmitResult{Error: "a rollout needs a service, a version and a duration"}
	}
	if last, ok := s.rollouts[order.Service]; ok {
		same := last.Version == order.Version && last.DurationMs == order.DurationMs
		switch {
		case same && (last.State == api.RolloutRunning || c.BaseRevision < last.Ended || s.nowMs-last.StartedMs < repeatWindowMs),
			last.State == api.RolloutSucceeded && last.Version == order.Version:
			return api.SubmitResult{Revision: s.revision}
		case last.State == api.RolloutRunning:
			return api.SubmitResult{ConflictingChange: last.StartID, Revision: last.Started}
		case c.BaseRevision < last.Ended:
			return api.SubmitResult{ConflictingChange: last.EndID, Revision: last.Ended}
		}
	}
	started := api.Rollout{
		Service: order.Service, Version: order.Version, DurationMs: order.DurationMs, Started: s.revision + 1, State: api.RolloutRunning,
	}
	s.rollouts[order.Service] = rollout{
		Rollout: started, StartID: c.ChangeID, StartedMs: s.nowMs, Account: api.RolloutAccount{Service: started.Service, Started: started.Started},
	}
	s.addRevision(c.ChangeID, c.Author, fmt.Sprintf("rollout of %s to %s", order.Service, order.Version))
	return api.SubmitResult{Revision: s.revision}
}

// endRollout ends a running rollout. The end of a rollout that has ended already, or that is not the newest one of
// its service, changes nothing: an earlier owner may have decided late.
func (s *State) endRollout(c *Submit) api.SubmitResult {
	end := c.Rollout
	if end.State != api.RolloutSucceeded && end.State != api.RolloutRolledBack {
		return api.SubmitResult{Error: fmt.Sprintf("a rollout cannot end as %q", end.State)}
	}
	last, ok := s.rollouts[end.Service]
	if !ok || last.Started != end.Ends || last.State != api.RolloutRunning {
		return api.SubmitResult{Revision: s.revision}
	}
	last.State, last.Reason, last.Replaced = end.State, end.Reason, end.Replaced
	last.Ended, last.EndID = s.revision+1, c.ChangeID
	s.rollouts[end.Service] = last
	s.addRevision(c.ChangeID, c.Author, fmt.Sprintf("rollout of %s to %s: %s", end.Service, last.Version, end.State))
	return api.SubmitResult{Revision: s.revision}
}

// saveAccount raises the figures of a running rollout's account.
func (s *State) saveAccount(a *api.RolloutAccount) Result {
	last, ok := s.rollouts[a.Service]
	if !ok || last.Started != a.Started || last.State != api.RolloutRunning {
		return Result{Error: "fleetstate: the rollout does not run"}
	}
	last.Account.Requests = max(last.Account.Requests, a.Requests)
	last.Account.Allowed = max(last.Account.Allowed, a.Allowed)
	last.Account.ElapsedMs = max(last.Account.ElapsedMs, a.ElapsedMs)
	s.rollouts[a.Service] = last
	return Result{}
}

// viewRollouts returns the rollouts as in api.View; nil without any.
func (s *State) viewRollouts() map[string]api.Rollout {
	if len(s.rollouts) == 0 {
		return nil
	}
	out := make(map[string]api.Rollout, len(s.rollouts))
	for service, r := range s.rollouts {
		out[service] = r.Rollout
	}
	return out
}
