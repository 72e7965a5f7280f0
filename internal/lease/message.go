package lease

import (
	"bytes"
	"encoding/json"
	"math"

	"github.com/pkg/errors"
)

// Limits of a decoded message. A message that exceeds one is rejected.
const (
	maxListLen   = 4096
	maxNameBytes = 256
)

// Request asks the witnesses for the ownership of a pool or for its renewal.
type Request struct {
	Pool string
	// Epoch is the requested epoch.
	Epoch uint64
	// Held reports that the sender owns the pool with this epoch.
	Held bool
	// HandedOverEpoch is the epoch of the owner that handed over its votes to the
	// sender, 0 without a handover.
	HandedOverEpoch uint64
}

// Release gives up the votes granted to the sender for a pool, for Epoch and all
// lower epochs.
type Release struct {
	Pool  string
	Epoch uint64
	// Successor is the successor to which a resigned owner hands over its votes. If it
	// is "", each receiver frees its vote for any candidate.
	Successor string
}

// Heartbeat is the message that each instance sends to all others every
// HeartbeatInterval, and at once when Node.Tick asks for it.
type Heartbeat struct {
	// Boot identifies the sender's process: a restarted instance has another value.
	Boot uint64
	// Seq numbers the heartbeats of this process from 1.
	Seq uint64
	// Revision is the revision of the sender's view.
	Revision uint64
	// StampMs and StampCount are the sender's hybrid logical clock: Unix
	// milliseconds and a counter within the millisecond.
	StampMs    int64
	StampCount uint32
	// Unreached names the peers to which the sender has no direct link.
	Unreached []string
	Requests  []Request
	Releases  []Release
}

// Vote is a witness's decision on one request of a heartbeat.
type Vote struct {
	Granted bool
	// Owner and Epoch are the reason of a refusal: the owner whose grant has not
	// expired and its epoch, or "" and the highest epoch known to the witness.
	Owner string
	Epoch uint64
}

// UnansweredPeer reports a peer to which the sender has sent no lease reply for at
// least 1.2 s (unansweredReportAge). A lease reply is a reply that does not abstain.
type UnansweredPeer struct {
	Peer string
	// SinceReplyMs is the time since the last lease reply in milliseconds.
	SinceReplyMs uint64
}

// Reply is the reply to a heartbeat.
type Reply struct {
	// Seq is the Seq of the heartbeat. It is not encoded: the caller sets it from
	// the RPC that returned the reply.
	Seq uint64
	// Revision is the revision of the replier's view.
	Revision uint64
	// Abstains reports that the replier is no witness yet. Its votes then grant
	// nothing, and the reply does not count towards a lease.
	Abstains   bool
	Votes      []Vote // one for each request, in order
	Unanswered []UnansweredPeer
}

// MarshalJSON encodes a heartbeat as an array without its trailing zero values.
// Heartbeats are the idle traffic of the fleet, and field names would be most of
// their bytes.
func (h Heartbeat) MarshalJSON() ([]byte, error) {
	reqs := make([][]any, 0, len(h.Requests))
	for _, r := range h.Requests {
		reqs = append(reqs, trimZeros(r.Pool, r.Epoch, boolToInt(!r.Held), r.HandedOverEpoch))
	}
	rels := make([][]any, 0, len(h.Releases))
	for _, r := range h.Releases {
		rels = append(rels, trimZeros(r.Pool, r.Epoch, r.Successor))
	}
	unreached := h.Unreached
	if unreached == nil {
		unreached = []string{}
	}
	return json.Marshal(trimZeros(h.Boot, h.Seq, h.Revision, h.StampMs, h.StampCount, reqs, unreached, rels))
}

// UnmarshalJSON decodes a heartbeat. It returns an error and leaves h unchanged if
// a required field is missing or a limit is exceeded.
func (h *Heartbeat) UnmarshalJSON(data []byte) error {
	var out Heartbeat
	var reqs, rels []json.RawMessage
	err := decodeArray(data, 2, &out.Boot, &out.Seq, &out.Revision, &out.StampMs, &out.StampCount, &reqs, &out.Unreached, &rels)
	if err != nil {
		return errors.WithMessage(err, "beat")
	}
	if out.Boot == 0 || out.Seq == 0 {
		return errors.New("beat: no boot or no sequence")
	}
	for _, raw := range reqs {
		var r Request
		notOwned := 0
		if err := decodeArray(raw, 2, &r.Pool, &r.Epoch, &notOwned, &r.HandedOverEpoch); err != nil {
			return errors.WithMessage(err, "beat request")
		}
		if r.Pool == "" || r.Epoch == 0 {
			return errors.New("beat request: no pool or no epoch")
		}
		r.Held = notOwned == 0
		out.Requests = append(out.Requests, r)
	}
	for _, raw := range rels {
		var r Release
		if err := decodeArray(raw, 2, &r.Pool, &r.Epoch, &r.Successor); err != nil {
			return errors.WithMessage(err, "beat release")
		}
		if r.Pool == "" || r.Epoch == 0 {
			return errors.New("beat release: no pool or no epoch")
		}
		out.Releases = append(out.Releases, r)
	}
	*h = out
	return nil
}

// MarshalJSON encodes a reply as an array without its trailing zero values.
func (r Reply) MarshalJSON() ([]byte, error) {
	votes := make([]any, 0, len(r.Votes))
	for _, v := range r.Votes {
		if v.Granted {
			votes = append(votes, 1)
			continue
		}
		votes = append(votes, trimZeros(v.Epoch, v.Owner))
	}
	unanswered := make([][]any, 0, len(r.Unanswered))
	for _, u := range r.Unanswered {
		unanswered = append(unanswered, []any{u.Peer, u.SinceReplyMs})
	}
	return json.Marshal(trimZeros(r.Revision, boolToInt(r.Abstains), votes, unanswered))
}

// UnmarshalJSON decodes a reply. It returns an error and leaves r unchanged if a
// required field is missing or a limit is exceeded.
func (r *Reply) UnmarshalJSON(data []byte) error {
	var out Reply
	var votes, unanswered []json.RawMessage
	abstains := 0
	if err := decodeArray(data, 0, &out.Revision, &abstains, &votes, &unanswered); err != nil {
		return errors.WithMessage(err, "reply")
	}
	out.Abstains = abstains != 0
	for _, raw := range votes {
		v, err := decodeVote(raw)
		if err != nil {
			return err
		}
		out.Votes = append(out.Votes, v)
	}
	for _, raw := range unanswered {
		var u UnansweredPeer
		if err := decodeArray(raw, 2, &u.Peer, &u.SinceReplyMs); err != nil {
			return errors.WithMessage(err, "reply quiet")
		}
		if u.Peer == "" || u.SinceReplyMs > math.MaxInt32 {
			return errors.New("reply quiet: no peer or time out of range")
		}
		out.Unanswered = append(out.Unanswered, u)
	}
	*r = out
	return nil
}

// decodeVote decodes a vote: 1 if granted, otherwise an array of epoch and owner.
func decodeVote(raw json.RawMessage) (Vote, error) {
	if bytes.Equal(raw, []byte("1")) {
		return Vote{Granted: true}, nil
	}
	var v Vote
	err := decodeArray(raw, 0, &v.Epoch, &v.Owner)
	return v, errors.WithMessage(err, "reply vote")
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// trimZeros removes the trailing zero values.
func trimZeros(values ...any) []any {
	n := len(values)
	for n > 0 && isZero(values[n-1]) {
		n--
	}
	return values[:n]
}

// isZero reports whether v is the zero value or an empty list. It covers the types
// that the encoders use.
func isZero(v any) bool {
	switch v := v.(type) {
	case int:
		return v == 0
	case int64:
		return v == 0
	case uint32:
		return v == 0
	case uint64:
		return v == 0
	case string:
		return v == ""
	case []string:
		return len(v) == 0
	case []any:
		return len(v) == 0
	case [][]any:
		return len(v) == 0
	}
	return false
}

// decodeArray decodes a JSON array into dest. Elements after the first minFields
// may be missing.
func decodeArray(data []byte, minFields int, dest ...any) error {
	var raw []json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	if len(raw) < minFields || len(raw) > len(dest) {
		return errors.Errorf("%d fields, want %d to %d", len(raw), minFields, len(dest))
	}
	for i, r := range raw {
		if err := json.Unmarshal(r, dest[i]); err != nil {
			return err
		}
		if err := checkLength(dest[i]); err != nil {
			return err
		}
	}
	return nil
}

// checkLength returns an error if a decoded name or list exceeds its limit.
func checkLength(v any) error {
	switch v := v.(type) {
	case *string:
		if len(*v) > maxNameBytes {
			return errors.New("name too long")
		}
	case *[]json.RawMessage:
		if len(*v) > maxListLen {
			return errors.New("list too long")
		}
	case *[]string:
		if len(*v) > maxListLen {
			return errors.New("list too long")
		}
	}
	return nil
}
