package lease

import (
	"bytes"
	"encoding/json"
	"math"

	"github.com/pkg/errors"
)

// Bounds on a decoded message; larger ones are refused.
const (
	maxList = 4096
	maxName = 256 // bytes
)

// Request asks the witnesses for a pool, or renews a grant.
type Request struct {
	Pool  string
	Epoch uint64
	// Held reports that the sender owns the pool with this epoch.
	Held bool
	// After, if not 0, is the epoch that its owner handed over to the sender.
	After uint64
}

// Release gives up the votes for a pool.
type Release struct {
	Pool  string
	Epoch uint64
	// To names the successor to which a resigning owner hands over its votes;
	// "" frees the votes of the witnesses that receive the release.
	To string
}

// Beat is sent by each instance to all others.
type Beat struct {
	// Boot identifies the sender's process: a restarted instance has another.
	Boot uint64
	// Seq counts the beats of this process from 1.
	Seq      uint64
	Revision uint64
	// StampMs and StampCount carry the hybrid logical clock.
	StampMs    int64
	StampCount uint32
	// Unreached names the peers without a direct link.
	Unreached []string
	Requests  []Request
	Releases  []Release
}

// Vote answers one request of a beat.
type Vote struct {
	Granted bool
	// Owner and Epoch tell why not: the unexpired owner, or "" and the highest
	// epoch known to the witness.
	Owner string
	Epoch uint64
}

// Quiet tells that a peer's beats were not answered for some time.
type Quiet struct {
	Peer string
	// Ms is the time since the last answer that counts towards a lease.
	Ms uint64
}

// Reply answers a beat. The beat it answers is known from the call.
type Reply struct {
	Seq      uint64 // not encoded
	Revision uint64
	// Abstains reports that the replier is no witness yet.
	Abstains bool
	Votes    []Vote // one for each request, in order
	Quiet    []Quiet
}

// MarshalJSON encodes a beat as an array without its empty tail. Beats are the
// idle traffic of the fleet, so the field names would be most of it.
func (b Beat) MarshalJSON() ([]byte, error) {
	reqs := make([][]any, 0, len(b.Requests))
	for _, r := range b.Requests {
		reqs = append(reqs, trim(r.Pool, r.Epoch, bit(!r.Held), r.After))
	}
	rels := make([][]any, 0, len(b.Releases))
	for _, r := range b.Releases {
		rels = append(rels, trim(r.Pool, r.Epoch, r.To))
	}
	unreached := b.Unreached
	if unreached == nil {
		unreached = []string{}
	}
	return json.Marshal(trim(b.Boot, b.Seq, b.Revision, b.StampMs, b.StampCount, reqs, unreached, rels))
}

// UnmarshalJSON implements json.Unmarshaler.
func (b *Beat) UnmarshalJSON(data []byte) error {
	var out Beat
	var reqs, rels []json.RawMessage
	err := fields(data, 2, &out.Boot, &out.Seq, &out.Revision, &out.StampMs, &out.StampCount, &reqs, &out.Unreached, &rels)
	if err != nil {
		return errors.WithMessage(err, "beat")
	}
	if out.Boot == 0 || out.Seq == 0 {
		return errors.New("beat: no boot or no sequence")
	}
	for _, raw := range reqs {
		var r Request
		seeks := 0
		if err := fields(raw, 2, &r.Pool, &r.Epoch, &seeks, &r.After); err != nil {
			return errors.WithMessage(err, "beat request")
		}
		if r.Pool == "" || r.Epoch == 0 {
			return errors.New("beat request: no pool or no epoch")
		}
		r.Held = seeks == 0
		out.Requests = append(out.Requests, r)
	}
	for _, raw := range rels {
		var r Release
		if err := fields(raw, 2, &r.Pool, &r.Epoch, &r.To); err != nil {
			return errors.WithMessage(err, "beat release")
		}
		if r.Pool == "" || r.Epoch == 0 {
			return errors.New("beat release: no pool or no epoch")
		}
		out.Releases = append(out.Releases, r)
	}
	*b = out
	return nil
}

// MarshalJSON encodes a reply as an array without its empty tail.
func (r Reply) MarshalJSON() ([]byte, error) {
	votes := make([]any, 0, len(r.Votes))
	for _, v := range r.Votes {
		if v.Granted {
			votes = append(votes, 1)
			continue
		}
		votes = append(votes, trim(v.Epoch, v.Owner))
	}
	quiet := make([][]any, 0, len(r.Quiet))
	for _, q := range r.Quiet {
		quiet = append(quiet, []any{q.Peer, q.Ms})
	}
	return json.Marshal(trim(r.Revision, bit(r.Abstains), votes, quiet))
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *Reply) UnmarshalJSON(data []byte) error {
	var out Reply
	var votes, quiet []json.RawMessage
	abstains := 0
	if err := fields(data, 0, &out.Revision, &abstains, &votes, &quiet); err != nil {
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
	for _, raw := range quiet {
		var q Quiet
		if err := fields(raw, 2, &q.Peer, &q.Ms); err != nil {
			return errors.WithMessage(err, "reply quiet")
		}
		if q.Peer == "" || q.Ms > math.MaxInt32 {
			return errors.New("reply quiet: no peer or time out of range")
		}
		out.Quiet = append(out.Quiet, q)
	}
	*r = out
	return nil
}

func decodeVote(raw json.RawMessage) (Vote, error) {
	if bytes.Equal(raw, []byte("1")) {
		return Vote{Granted: true}, nil
	}
	var v Vote
	err := fields(raw, 0, &v.Epoch, &v.Owner)
	return v, errors.WithMessage(err, "reply vote")
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}

// trim drops the zero values at the end.
func trim(values ...any) []any {
	n := len(values)
	for n > 0 && isZero(values[n-1]) {
		n--
	}
	return values[:n]
}

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

// fields decodes a JSON array whose tail may be missing after the first least
// elements.
func fields(data []byte, least int, into ...any) error {
	var raw []json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	if len(raw) < least || len(raw) > len(into) {
		return errors.Errorf("%d fields, want %d to %d", len(raw), least, len(into))
	}
	for i, r := range raw {
		if err := json.Unmarshal(r, into[i]); err != nil {
			return err
		}
		if err := checkBound(into[i]); err != nil {
			return err
		}
	}
	return nil
}

func checkBound(v any) error {
	switch v := v.(type) {
	case *string:
		if len(*v) > maxName {
			return errors.New("name too long")
		}
	case *[]json.RawMessage:
		if len(*v) > maxList {
			return errors.New("list too long")
		}
	case *[]string:
		if len(*v) > maxList {
			return errors.New("list too long")
		}
	}
	return nil
}
