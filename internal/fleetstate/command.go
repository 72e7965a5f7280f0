package fleetstate

import (
	"encoding/json"

	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
)

// Command is one entry of the log. Exactly one of its pointers is set.
type Command struct {
	// ID identifies the command. A resent command has the same ID.
	ID string `json:"id"`
	// UnixMs is the Unix time in milliseconds of the leader that proposed the entry.
	UnixMs int64       `json:"ms"`
	Submit *Submit     `json:"submit,omitempty"`
	Move   *MoveStep   `json:"move,omitempty"`
	Claim  *Claim      `json:"claim,omitempty"`
	Settle *Settle     `json:"settle,omitempty"`
	Epoch  *OrderEpoch `json:"epoch,omitempty"`
	// Account is the account of a running rollout. It makes no revision.
	Account *api.RolloutAccount `json:"account,omitempty"`
}

// Submit is a change by an operator. Its document has been validated before.
type Submit struct {
	api.Submission
	// Summary describes the change in the history.
	Summary string `json:"summary,omitempty"`
}

// MoveStep takes the data centre of a planned move out of service or back into service.
type MoveStep struct {
	Move string `json:"move"`          // identity as returned by MoveID
	Out  bool   `json:"out,omitempty"` // true: out of service, false: back
}

// Claim reserves the right to run a request with an idempotency key for a holder, a
// unique request id.
type Claim struct {
	Key    api.ClaimKey `json:"key"`
	Holder string       `json:"holder"`
}

// Settle ends a running claim of the holder and stores its outcome. A nil outcome
// releases the claim, because the request was certainly not run.
type Settle struct {
	Key     api.ClaimKey      `json:"key"`
	Holder  string            `json:"holder"`
	Outcome *api.ClaimOutcome `json:"outcome,omitempty"`
}

// OrderEpoch obtains the next fencing token for orders to the targets of a pool.
type OrderEpoch struct {
	Pool string `json:"pool"`
}

// Result is the result of a command. At most the field of its kind or Error is set.
type Result struct {
	Submit *api.SubmitResult `json:"submit,omitempty"`
	Claim  *api.ClaimResult  `json:"claim,omitempty"`
	Epoch  uint64            `json:"epoch,omitempty"`
	Move   MoveResult        `json:"move,omitempty"`
	// Error is the reason why an entry other than a submission was refused.
	Error string `json:"error,omitempty"`
}

// Encode returns the command as an entry of the log, in JSON.
func (c *Command) Encode() ([]byte, error) {
	b, err := json.Marshal(c)
	return b, errors.WithMessage(err, "fleetstate: encode command")
}

// Decode decodes an entry of the log. It fails if the entry is not valid JSON of a
// Command.
func Decode(b []byte) (*Command, error) {
	c := &Command{}
	if err := json.Unmarshal(b, c); err != nil {
		return nil, errors.WithMessage(err, "fleetstate: decode command")
	}
	return c, nil
}
