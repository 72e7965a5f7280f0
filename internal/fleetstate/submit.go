package fleetstate

import (
	"fmt"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
)

// submit accepts or refuses a change and stores the result under its id. A change with a
// known id gets the stored result.
func (s *State) submit(c *Submit) api.SubmitResult {
	if c.ChangeID == "" {
		return api.SubmitResult{Error: "change id is missing"}
	}
	if r, ok := s.changes[c.ChangeID]; ok {
		return r
	}
	r := s.applySubmission(c)
	s.changes[c.ChangeID] = r
	s.changeOrder = append(s.changeOrder, c.ChangeID)
	if len(s.changeOrder) > maxStoredChanges {
		delete(s.changes, s.changeOrder[0])
		s.changeOrder = s.changeOrder[1:]
	}
	return r
}

// applySubmission accepts a change only if its base is the newest revision (optimistic
// concurrency control). A change with OnNewestRevision set does not need a base.
func (s *State) applySubmission(c *Submit) api.SubmitResult {
	if c.OnNewestRevision {
		return s.applyToNewest(c)
	}
	switch {
	case c.BaseRevision > s.revision:
		return api.SubmitResult{Error: fmt.Sprintf("base revision %d does not exist, the newest is %d", c.BaseRevision, s.revision)}
	case c.BaseRevision < s.revision:
		return s.conflictSince(c.BaseRevision + 1)
	case c.Config == nil && c.DataCentre == "":
		return api.SubmitResult{Error: "change is empty"}
	}
	config := s.config
	if c.Config != nil {
		config = c.Config
	}
	if c.DataCentre != "" && !hasDataCentre(config, c.DataCentre) {
		return api.SubmitResult{Error: fmt.Sprintf("data centre %q does not exist", c.DataCentre)}
	}
	s.config = config
	s.setOut(c.DataCentre, c.Out, c.ChangeID)
	s.dropUnlisted()
	s.addRevision(c.ChangeID, c.Author, c.Summary)
	return api.SubmitResult{Revision: s.revision}
}

// order is an accepted order on a data centre, with its number.
type order struct {
	Number   uint64 `json:"number"`
	ChangeID string `json:"change_id"`
}

// applyToNewest applies a change without a base revision. A document replaces the current
// one if its version is higher. An order on a data centre conflicts with a later one that
// says the opposite: its message was delayed. A change without effect makes no revision,
// but an order counts, so that those ordered before it conflict. Rollouts are separate
// changes.
func (s *State) applyToNewest(c *Submit) api.SubmitResult {
	if c.Rollout != nil {
		return s.applyRollout(c)
	}
	_, out := s.outOfService[c.DataCentre]
	if c.DataCentre != "" {
		last := s.lastOrders[c.DataCentre]
		if c.BaseOrders != nil && last.Number > *c.BaseOrders && out != c.Out {
			return api.SubmitResult{ConflictingChange: last.ChangeID, Revision: s.revision}
		}
		s.orders++
		s.lastOrders[c.DataCentre] = order{s.orders, c.ChangeID}
	}
	newer := c.Document != nil && c.Version > s.version
	changesOut := c.DataCentre != "" && out != c.Out
	if !newer && !changesOut {
		return api.SubmitResult{Revision: s.revision}
	}
	if newer {
		s.version, s.document = c.Version, c.Document
	}
	s.setOut(c.DataCentre, c.Out, c.ChangeID)
	s.addRevision(c.ChangeID, c.Author, c.Summary)
	return api.SubmitResult{Revision: s.revision}
}

// conflictSince returns a conflict with the change that made a revision, or with the
// oldest later one that is still in the history.
func (s *State) conflictSince(revision uint64) api.SubmitResult {
	for _, h := range s.history {
		if h.Revision >= revision {
			return api.SubmitResult{ConflictingChange: h.ChangeID, Revision: h.Revision}
		}
	}
	return api.SubmitResult{ConflictingChange: "unknown", Revision: revision}
}

// setOut takes a data centre out of service or back. Cause is the change id.
func (s *State) setOut(dc string, out bool, cause string) {
	if dc == "" {
		return
	}
	if !out {
		delete(s.outOfService, dc)
	} else {
		s.outOfService[dc] = cause
	}
}

// dropUnlisted drops the state of data centres and moves that are no longer in the
// document.
func (s *State) dropUnlisted() {
	for dc := range s.outOfService {
		if !hasDataCentre(s.config, dc) {
			delete(s.outOfService, dc)
		}
	}
	listed := map[string]bool{}
	for _, m := range s.config.Moves {
		listed[MoveID(m)] = true
	}
	for id := range s.moves {
		if !listed[id] {
			delete(s.moves, id)
		}
	}
}

// addRevision makes a new revision with an entry in the history.
func (s *State) addRevision(id, author, summary string) {
	s.revision++
	s.history = append(s.history, api.HistoryEntry{
		Revision: s.revision, ChangeID: id, Author: author, UnixMs: s.nowMs, Summary: summary,
	})
	if len(s.history) > maxStoredChanges {
		s.history = s.history[1:]
	}
	s.rebuildView()
}

func hasDataCentre(c *fleetconfig.Config, name string) bool {
	if c == nil {
		return false
	}
	for _, dc := range c.DataCentres {
		if dc.Name == name {
			return true
		}
	}
	return false
}
