package fleetstate

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"nutmegrouter/fleetconfig"
	"nutmegrouter/internal/api"
)

// snapshotFormat is the version of the snapshot format.
const snapshotFormat = 1

// snapshotData is the content of a snapshot, encoded as JSON. Lists have a fixed order
// and maps are encoded with sorted keys, so that equal states give equal bytes.
type snapshotData struct {
	Format   int                   `json:"format"`
	NowMs    int64                 `json:"now_ms"`
	Revision uint64                `json:"revision"`
	Config   *fleetconfig.Config   `json:"config,omitempty"`
	Version  uint64                `json:"version,omitempty"`
	Document []byte                `json:"document,omitempty"`
	Out      map[string]string     `json:"out,omitempty"`
	Orders   uint64                `json:"orders,omitempty"`
	Ordered  map[string]order      `json:"ordered,omitempty"`
	Moves    map[string]MoveResult `json:"moves,omitempty"`
	Changes  []storedChange        `json:"changes,omitempty"`
	History  []api.HistoryEntry    `json:"history,omitempty"`
	Claims   []*claim              `json:"claims,omitempty"`
	Epochs   []*poolEpochs         `json:"epochs,omitempty"`
	Rollouts map[string]rollout    `json:"rollouts,omitempty"`
}

// storedChange is the result of a submitted change.
type storedChange struct {
	ID     string           `json:"id"`
	Result api.SubmitResult `json:"result"`
}

// Snapshot returns the encoded state.
func (s *State) Snapshot() ([]byte, error) {
	data := snapshotData{
		Format: snapshotFormat, NowMs: s.nowMs, Revision: s.revision, Config: s.config,
		Version: s.version, Document: s.document,
		Out: s.outOfService, Orders: s.orders, Ordered: s.lastOrders, Moves: s.moves, History: s.history,
		Rollouts: s.rollouts,
	}
	for _, id := range s.changeOrder {
		data.Changes = append(data.Changes, storedChange{id, s.changes[id]})
	}
	data.Claims = s.claims.expiryOrder
	for _, pool := range slices.Sorted(maps.Keys(s.epochs)) {
		data.Epochs = append(data.Epochs, s.epochs[pool])
	}
	b, err := json.Marshal(data)
	return b, errors.WithMessage(err, "fleetstate: encode snapshot")
}

// Restore returns the state of an encoded snapshot, or a new state if b is empty. It fails
// if the snapshot is malformed or has another format version.
func Restore(b []byte) (*State, error) {
	s := New()
	if len(b) == 0 {
		return s, nil
	}
	var data snapshotData
	if err := json.Unmarshal(b, &data); err != nil {
		return nil, errors.WithMessage(err, "fleetstate: decode snapshot")
	}
	if data.Format != snapshotFormat {
		return nil, errors.Errorf("fleetstate: snapshot has format %d, this program reads %d", data.Format, snapshotFormat)
	}
	s.nowMs, s.revision, s.config, s.history = data.NowMs, data.Revision, data.Config, data.History
	s.version, s.document = data.Version, data.Document
	maps.Copy(s.outOfService, data.Out)
	s.orders = data.Orders
	maps.Copy(s.lastOrders, data.Ordered)
	maps.Copy(s.moves, data.Moves)
	maps.Copy(s.rollouts, data.Rollouts)
	for _, c := range data.Changes {
		s.changes[c.ID] = c.Result
		s.changeOrder = append(s.changeOrder, c.ID)
	}
	for _, c := range data.Claims {
		s.claims.byKey[c.Key] = c
		s.claims.expiryOrder = append(s.claims.expiryOrder, c)
		s.claims.storedBodyBytes += c.bodyBytes()
	}
	for _, e := range data.Epochs {
		s.epochs[e.Pool] = e
	}
	s.rebuildView()
	return s, nil
}
