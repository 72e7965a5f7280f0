package fleetstate

import (
	"slices"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
)

// maxStoredChanges bounds the results by change id and the history, each in entries. At
// 8,300 changes a day they cover almost two days, in which a change may be resent.
const maxStoredChanges = 16384

// State is the state machine. Use New or Restore; the zero value is not usable. It is
// not safe for concurrent use.
type State struct {
	nowMs        int64 // newest time of an entry, Unix time in milliseconds
	revision     uint64
	config       *fleetconfig.Config
	version      uint64 // of the newest document submitted without a base
	document     []byte
	outOfService map[string]string     // data centre -> change id or move identity that took it out
	orders       uint64                // orders on data centres without a base revision
	lastOrders   map[string]order      // the newest of them by data centre
	moves        map[string]MoveResult // results of the last decided steps by move identity
	changes      map[string]api.SubmitResult
	changeOrder  []string // change ids, oldest first
	history      []api.HistoryEntry
	claims       claims
	epochs       map[string]*poolEpochs
	rollouts     map[string]rollout // the newest of each service
	view         *api.View
}

// New returns the state before the first entry of the log.
func New() *State {
	return &State{
		outOfService: map[string]string{},
		lastOrders:   map[string]order{},
		moves:        map[string]MoveResult{},
		changes:      map[string]api.SubmitResult{},
		claims:       newClaims(),
		epochs:       map[string]*poolEpochs{},
		rollouts:     map[string]rollout{},
		view:         &api.View{},
	}
}

// Apply applies one entry of the log and returns its result. An entry that cannot be
// decoded gives a result with Error and changes nothing, on every replica alike.
func (s *State) Apply(entry []byte) Result {
	c, err := Decode(entry)
	if err != nil {
		return Result{Error: err.Error()}
	}
	s.nowMs = max(s.nowMs, c.UnixMs)
	s.claims.expire(s.nowMs)
	switch {
	case c.Submit != nil:
		r := s.submit(c.Submit)
		return Result{Submit: &r}
	case c.Move != nil:
		return Result{Move: s.applyMove(c.Move)}
	case c.Claim != nil:
		return s.claims.claim(c.Claim, s.nowMs)
	case c.Settle != nil:
		return s.claims.settle(c.Settle)
	case c.Account != nil:
		return s.saveAccount(c.Account)
	case c.Epoch != nil:
		return Result{Epoch: s.issueEpoch(c.Epoch.Pool, c.ID)}
	}
	return Result{Error: "fleetstate: command is empty"}
}

// View returns the view of the newest revision. It must not be modified; Apply replaces
// it.
func (s *State) View() *api.View { return s.view }

// Revision returns the number of the newest revision, or 0 if there is none.
func (s *State) Revision() uint64 { return s.revision }

// Orders returns the number of orders on data centres that were accepted without a base
// revision.
func (s *State) Orders() uint64 { return s.orders }

// ChangeResult returns the stored result of a change id, or false if there is none.
func (s *State) ChangeResult(id string) (api.SubmitResult, bool) {
	r, ok := s.changes[id]
	return r, ok
}

// History returns up to limit revisions, newest first, or all stored ones if limit is
// not positive.
func (s *State) History(limit int) []api.HistoryEntry {
	if limit <= 0 || limit > len(s.history) {
		limit = len(s.history)
	}
	out := slices.Clone(s.history[len(s.history)-limit:])
	slices.Reverse(out)
	return out
}

// rebuildView replaces the view by one of the current state.
func (s *State) rebuildView() {
	v := &api.View{Revision: s.revision, Config: s.config, Version: s.version, Document: s.document, Rollouts: s.viewRollouts()}
	if len(s.outOfService) > 0 {
		v.DataCentresOut = make(map[string]bool, len(s.outOfService))
		for dc := range s.outOfService {
			v.DataCentresOut[dc] = true
		}
	}
	s.view = v
}

// poolEpochs is the fencing token counter of a pool with the newest tokens issued.
type poolEpochs struct {
	Pool string `json:"pool"`
	Last uint64 `json:"last"`
	// Issued holds the newest tokens, oldest first, so that a resent command gets the
	// same token again.
	Issued []issuedEpoch `json:"drawn"`
}

// issuedEpoch is a fencing token with the identity of the command that obtained it.
type issuedEpoch struct {
	ID    string `json:"id"`
	Epoch uint64 `json:"epoch"`
}

// maxIssuedEpochs bounds the stored tokens of a pool. A pool needs a token per takeover,
// so this covers far more than the time in which a resent command can arrive.
const maxIssuedEpochs = 64

// issueEpoch returns the next fencing token of a pool, or the token that the command with
// this identity has obtained before.
func (s *State) issueEpoch(pool, id string) uint64 {
	e, ok := s.epochs[pool]
	if !ok {
		e = &poolEpochs{Pool: pool}
		s.epochs[pool] = e
	}
	for _, d := range e.Issued {
		if d.ID == id {
			return d.Epoch
		}
	}
	e.Last++
	e.Issued = append(e.Issued, issuedEpoch{id, e.Last})
	if len(e.Issued) > maxIssuedEpochs {
		e.Issued = slices.Delete(e.Issued, 0, len(e.Issued)-maxIssuedEpochs)
	}
	return e.Last
}
