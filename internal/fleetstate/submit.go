package fleetstate

import (
	"fmt"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
)

// submit decides on a change and stores the result under its id.
func (s *State) submit(c *Submit) api.SubmitResult {
	if c.ChangeID == "" {
		return api.SubmitResult{Error: "change id is missing"}
	}
	if r, ok := s.changes[c.ChangeID]; ok {
		return r
	}
	r := s.decide(c)
	s.changes[c.ChangeID] = r
	s.order = append(s.order, c.ChangeID)
	if len(s.order) > maxChanges {
		delete(s.changes, s.order[0])
		s.order = s.order[1:]
	}
	return r
}

func (s *State) decide(c *Submit) api.SubmitResult {
	if c.Newest {
		return s.decideNewest(c)
	}
	switch {
	case c.Base > s.revision:
		return api.SubmitResult{Error: fmt.Sprintf("base revision %d does not exist, the newest is %d", c.Base, s.revision)}
	case c.Base < s.revision:
		return s.lost(c.Base + 1)
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
	s.forget()
	s.accept(c.ChangeID, c.Author, c.Summary)
	return api.SubmitResult{Revision: s.revision}
}

// decideNewest decides on a change without a base: the document with the highest
// version wins, and a data centre is out or not.
func (s *State) decideNewest(c *Submit) api.SubmitResult {
	_, out := s.out[c.DataCentre]
	newer := c.Document != nil && c.Version > s.version
	toggles := c.DataCentre != "" && out != c.Out
	if !newer && !toggles {
		return api.SubmitResult{Revision: s.revision}
	}
	if newer {
		s.version, s.document = c.Version, c.Document
	}
	s.setOut(c.DataCentre, c.Out, c.ChangeID)
	s.accept(c.ChangeID, c.Author, c.Summary)
	return api.SubmitResult{Revision: s.revision}
}

// lost names the change that made a revision, or the oldest one still known
// after it.
func (s *State) lost(revision uint64) api.SubmitResult {
	for _, h := range s.history {
		if h.Revision >= revision {
			return api.SubmitResult{Conflict: h.ChangeID, Revision: h.Revision}
		}
	}
	return api.SubmitResult{Conflict: "unknown", Revision: revision}
}

func (s *State) setOut(dc string, out bool, by string) {
	if dc == "" {
		return
	}
	if !out {
		delete(s.out, dc)
	} else {
		s.out[dc] = by
	}
}

// forget drops data centres and moves that the document does not name any more.
func (s *State) forget() {
	for dc := range s.out {
		if !hasDataCentre(s.config, dc) {
			delete(s.out, dc)
		}
	}
	known := map[string]bool{}
	for _, m := range s.config.Moves {
		known[MoveID(m)] = true
	}
	for id := range s.moves {
		if !known[id] {
			delete(s.moves, id)
		}
	}
}

// accept makes a new revision.
func (s *State) accept(id, author, summary string) {
	s.revision++
	s.history = append(s.history, api.HistoryEntry{
		Revision: s.revision, ChangeID: id, Author: author, UnixMs: s.nowMs, Summary: summary,
	})
	if len(s.history) > maxChanges {
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
