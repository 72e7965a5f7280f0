package fleetstate

import (
	"slices"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
)

// maxChanges bounds the change-id table and the history, each in entries. At
// 8,300 changes a day it covers resends for almost two days.
const maxChanges = 16384

// State is the state machine. The zero value is not usable; see New.
type State struct {
	nowMs    int64
	revision uint64
	config   *fleetconfig.Config
	version  uint64 // of the document
	document []byte
	out      map[string]string     // data centre -> change id or move that took it out
	moves    map[string]MoveResult // steps already decided, by move identity
	changes  map[string]api.SubmitResult
	order    []string // change ids, oldest first
	history  []api.HistoryEntry
	claims   claims
	epochs   map[string]*epochs
	view     *api.View
}

// New returns the state before the first command.
func New() *State {
	return &State{
		out:     map[string]string{},
		moves:   map[string]MoveResult{},
		changes: map[string]api.SubmitResult{},
		claims:  newClaims(),
		epochs:  map[string]*epochs{},
		view:    &api.View{},
	}
}

// Apply applies one entry of the log. An entry that cannot be decoded changes
// nothing, on every replica alike.
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
		return Result{Move: s.move(c.Move)}
	case c.Claim != nil:
		return s.claims.claim(c.Claim, s.nowMs)
	case c.Settle != nil:
		return s.claims.settle(c.Settle)
	case c.Epoch != nil:
		return Result{Epoch: s.drawEpoch(c.Epoch.Pool, c.ID)}
	}
	return Result{Error: "fleetstate: command is empty"}
}

// View returns the view of the newest revision. It is immutable.
func (s *State) View() *api.View { return s.view }

// Revision returns the newest revision.
func (s *State) Revision() uint64 { return s.revision }

// Change returns the stored result of a change id.
func (s *State) Change(id string) (api.SubmitResult, bool) {
	r, ok := s.changes[id]
	return r, ok
}

// History returns up to limit changes, newest first.
func (s *State) History(limit int) []api.HistoryEntry {
	if limit <= 0 || limit > len(s.history) {
		limit = len(s.history)
	}
	out := slices.Clone(s.history[len(s.history)-limit:])
	slices.Reverse(out)
	return out
}

func (s *State) rebuildView() {
	v := &api.View{Revision: s.revision, Config: s.config, Version: s.version, Document: s.document}
	if len(s.out) > 0 {
		v.Out = make(map[string]bool, len(s.out))
		for dc := range s.out {
			v.Out[dc] = true
		}
	}
	s.view = v
}

// epochs is the fencing counter of a pool with the newest draws by command id.
type epochs struct {
	Pool string `json:"pool"`
	Last uint64 `json:"last"`
	// Drawn holds the newest draws, oldest first, so that a resend gets the
	// number that it drew before.
	Drawn []draw `json:"drawn"`
}

type draw struct {
	ID    string `json:"id"`
	Epoch uint64 `json:"epoch"`
}

// maxDraws bounds the remembered draws of a pool. Draws happen on takeovers of
// a pool, so this covers far more than the time in which a resend can arrive.
const maxDraws = 64

func (s *State) drawEpoch(pool, id string) uint64 {
	e, ok := s.epochs[pool]
	if !ok {
		e = &epochs{Pool: pool}
		s.epochs[pool] = e
	}
	for _, d := range e.Drawn {
		if d.ID == id {
			return d.Epoch
		}
	}
	e.Last++
	e.Drawn = append(e.Drawn, draw{id, e.Last})
	if len(e.Drawn) > maxDraws {
		e.Drawn = slices.Delete(e.Drawn, 0, len(e.Drawn)-maxDraws)
	}
	return e.Last
}
