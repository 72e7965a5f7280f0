package fleetstate

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
)

// format is the version of the snapshot's form.
const format = 1

// image is the form of a snapshot. Lists are in a fixed order and maps are
// encoded with sorted keys, so that equal states give equal bytes.
type image struct {
	Format   int                   `json:"format"`
	NowMs    int64                 `json:"now_ms"`
	Revision uint64                `json:"revision"`
	Config   *fleetconfig.Config   `json:"config,omitempty"`
	Version  uint64                `json:"version,omitempty"`
	Document []byte                `json:"document,omitempty"`
	Out      map[string]string     `json:"out,omitempty"`
	Moves    map[string]MoveResult `json:"moves,omitempty"`
	Changes  []storedChange        `json:"changes,omitempty"`
	History  []api.HistoryEntry    `json:"history,omitempty"`
	Claims   []*claim              `json:"claims,omitempty"`
	Epochs   []*epochs             `json:"epochs,omitempty"`
}

type storedChange struct {
	ID     string           `json:"id"`
	Result api.SubmitResult `json:"result"`
}

// Snapshot returns the whole state.
func (s *State) Snapshot() ([]byte, error) {
	im := image{
		Format: format, NowMs: s.nowMs, Revision: s.revision, Config: s.config,
		Version: s.version, Document: s.document,
		Out: s.out, Moves: s.moves, History: s.history,
	}
	for _, id := range s.order {
		im.Changes = append(im.Changes, storedChange{id, s.changes[id]})
	}
	im.Claims = s.claims.order
	for _, pool := range slices.Sorted(maps.Keys(s.epochs)) {
		im.Epochs = append(im.Epochs, s.epochs[pool])
	}
	b, err := json.Marshal(im)
	return b, errors.WithMessage(err, "fleetstate: encode snapshot")
}

// Restore returns the state that a snapshot holds. No bytes give a new state.
func Restore(b []byte) (*State, error) {
	s := New()
	if len(b) == 0 {
		return s, nil
	}
	var im image
	if err := json.Unmarshal(b, &im); err != nil {
		return nil, errors.WithMessage(err, "fleetstate: decode snapshot")
	}
	if im.Format != format {
		return nil, errors.Errorf("fleetstate: snapshot has format %d, this program reads %d", im.Format, format)
	}
	s.nowMs, s.revision, s.config, s.history = im.NowMs, im.Revision, im.Config, im.History
	s.version, s.document = im.Version, im.Document
	maps.Copy(s.out, im.Out)
	maps.Copy(s.moves, im.Moves)
	for _, c := range im.Changes {
		s.changes[c.ID] = c.Result
		s.order = append(s.order, c.ID)
	}
	for _, c := range im.Claims {
		s.claims.byKey[c.Key] = c
		s.claims.order = append(s.claims.order, c)
		s.claims.bodies += c.bodyBytes()
	}
	for _, e := range im.Epochs {
		s.epochs[e.Pool] = e
	}
	s.rebuildView()
	return s, nil
}
