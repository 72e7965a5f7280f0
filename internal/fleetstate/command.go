package fleetstate

import (
	"encoding/json"

	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
)

// Command is one entry of the log. Exactly one of the pointers is set.
type Command struct {
	// ID identifies the command over all its resends.
	ID string `json:"id"`
	// UnixMs is the wall clock of the leader that proposed the entry.
	UnixMs int64       `json:"ms"`
	Submit *Submit     `json:"submit,omitempty"`
	Move   *MoveStep   `json:"move,omitempty"`
	Claim  *Claim      `json:"claim,omitempty"`
	Settle *Settle     `json:"settle,omitempty"`
	Epoch  *OrderEpoch `json:"epoch,omitempty"`
}

// Submit is a change by an operator. The document has been validated.
type Submit struct {
	api.Submission
	// Summary describes the change in the history.
	Summary string `json:"summary,omitempty"`
}

// MoveStep takes the data centre of a planned move out or back.
type MoveStep struct {
	Move string `json:"move"` // identity as given by MoveID
	Out  bool   `json:"out,omitempty"`
}

// Claim claims a keyed request for a holder.
type Claim struct {
	Key    api.ClaimKey `json:"key"`
	Holder string       `json:"holder"`
}

// Settle ends a claim of the holder. A nil outcome releases it.
type Settle struct {
	Key     api.ClaimKey      `json:"key"`
	Holder  string            `json:"holder"`
	Outcome *api.ClaimOutcome `json:"outcome,omitempty"`
}

// OrderEpoch draws the next fencing number of a pool.
type OrderEpoch struct {
	Pool string `json:"pool"`
}

// Result answers a command.
type Result struct {
	Submit *api.SubmitResult `json:"submit,omitempty"`
	Claim  *api.ClaimResult  `json:"claim,omitempty"`
	Epoch  uint64            `json:"epoch,omitempty"`
	Move   MoveResult        `json:"move,omitempty"`
	// Error tells why a command other than a submission was refused.
	Error string `json:"error,omitempty"`
}

// Encode returns the log form of a command.
func (c *Command) Encode() ([]byte, error) {
	b, err := json.Marshal(c)
	return b, errors.WithMessage(err, "fleetstate: encode command")
}

// Decode reads the log form of a command.
func Decode(b []byte) (*Command, error) {
	c := &Command{}
	if err := json.Unmarshal(b, c); err != nil {
		return nil, errors.WithMessage(err, "fleetstate: decode command")
	}
	return c, nil
}
