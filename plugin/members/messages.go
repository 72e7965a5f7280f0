package members

import (
	"context"
	"encoding/json"
	"hash/crc32"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/kernel"
)

// Methods between instances. The mesh takes replies to beats as the heartbeat of
// a link.
const (
	beatMethod    = "beat"
	leaderMethod  = "members.leader"
	changedMethod = "view.changed"
	fetchMethod   = "view.fetch"
)

// beat asks a control instance for what it knows.
type beat struct {
	// Known is a checksum of the control instances that the sender knows from
	// the receiver; 0 = none.
	Known uint32 `json:"k,omitempty"`
}

// beatReply is what a control instance knows. Controls is empty if the sender of
// the beat knows them.
type beatReply struct {
	Leader   string   `json:"l,omitempty"`
	Term     uint64   `json:"t,omitempty"`
	Revision uint64   `json:"r,omitempty"`
	Controls []string `json:"c,omitempty"`
	// Entries is the number of entry instances linked to the sender.
	Entries int `json:"n,omitempty"`
}

// leaderNote tells about a new leader.
type leaderNote struct {
	Leader string `json:"l"`
	Term   uint64 `json:"t"`
}

// changedNote tells that the sender has a newer view.
type changedNote struct {
	Revision uint64 `json:"r"`
}

// fetchRequest asks for a view newer than the known one.
type fetchRequest struct {
	Known uint64 `json:"known"`
	// Confirm asks for a view that a majority has confirmed as the newest.
	Confirm bool `json:"confirm,omitempty"`
}

// announced is a view that another instance has.
type announced struct {
	peer     string
	revision uint64
}

func checksum(names []string) uint32 { return crc32.ChecksumIEEE([]byte(strings.Join(names, " "))) }

// sendBeats asks all linked control instances, each in its own goroutine, because
// a silent one must not delay the others.
func (m *Members) sendBeats(ctx context.Context) {
	for _, peer := range m.Controls() {
		if peer == m.mesh.Self() || !m.mesh.Reachable(peer) {
			continue
		}
		m.beats.Inc()
		go m.sendBeat(ctx, peer)
	}
}

func (m *Members) sendBeat(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, beatLimit)
	defer cancel()
	m.mu.Lock()
	known := checksum(m.reported[peer].controls)
	m.mu.Unlock()
	var r beatReply
	if err := m.mesh.Call(ctx, peer, beatMethod, beat{Known: known}, &r); err != nil {
		m.unanswered.Inc()
		return
	}
	m.mu.Lock()
	old := m.reported[peer]
	old.at = m.kernel.Clock.Now()
	changed := len(r.Controls) > 0 && !slices.Equal(r.Controls, old.controls)
	if changed {
		old.controls = r.Controls
	}
	m.reported[peer] = old
	m.mu.Unlock()
	if changed {
		m.redial()
	}
	m.noteEntries(r.Entries)
	m.noteLeader(r.Leader, r.Term)
	m.noteView(peer, r.Revision)
}

// handleBeat answers with what this control instance knows.
func (m *Members) handleBeat(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var b beat
	if err := json.Unmarshal(params, &b); err != nil {
		return nil, errors.WithMessage(err, beatMethod)
	}
	r := beatReply{Revision: m.fleet.View().Revision}
	if m.control == nil {
		return r, nil
	}
	s := m.control.Status()
	r.Leader, r.Term, r.Entries = s.Leader, s.Term, m.Entries()
	controls := slices.Sorted(slices.Values(s.Members))
	if checksum(controls) != b.Known {
		r.Controls = controls
	}
	return r, nil
}

// statusChanged tells all linked instances when this one becomes the leader.
func (m *Members) statusChanged(s api.ControlStatus) {
	m.noteLeader(s.Leader, s.Term)
	if s.Role != "leader" {
		return
	}
	if err := m.mesh.NotifyAll(m.mesh.Peers(), leaderMethod, leaderNote{s.Leader, s.Term}); err != nil {
		m.log.Error("leader not announced", "step", "leader", "error", err)
	}
}

func (m *Members) handleLeader(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var n leaderNote
	if err := json.Unmarshal(params, &n); err != nil {
		return nil, errors.WithMessage(err, leaderMethod)
	}
	m.noteLeader(n.Leader, n.Term)
	return nil, nil
}

// announce tells the linked instances about a view. Control instances have it
// from the log.
func (m *Members) announce(revision uint64) {
	// An instance that misses it learns of the view by its next beat.
	if err := m.mesh.NotifyAll(m.linkedEntries(), changedMethod, changedNote{revision}); err != nil {
		m.log.Error("view not announced", "step", "view", "error", err)
	}
}

func (m *Members) handleChanged(_ context.Context, from string, params json.RawMessage) (any, error) {
	var n changedNote
	if err := json.Unmarshal(params, &n); err != nil {
		return nil, errors.WithMessage(err, changedMethod)
	}
	m.noteView(from, n.Revision)
	return nil, nil
}

// noteView queues a newer view for the fetch. Control instances get views from
// the log only.
func (m *Members) noteView(peer string, revision uint64) {
	if m.control == nil && revision > m.fleet.View().Revision {
		m.behind.Push(announced{peer, revision})
	}
}

// handleFetch answers with the local view, or null if it is not newer.
func (m *Members) handleFetch(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var req fetchRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.WithMessage(err, fetchMethod)
	}
	if req.Confirm && m.control != nil {
		if err := m.confirm(ctx); err != nil {
			return nil, errors.WithMessage(err, fetchMethod)
		}
	}
	if v := m.fleet.View(); v.Revision > req.Known {
		return v, nil
	}
	return nil, nil
}

// Bounds of a view that is confirmed.
const (
	// confirmLimit bounds the question to the majority and the wait for its newest view.
	confirmLimit = 400 * time.Millisecond
	confirmPoll  = 5 * time.Millisecond
	// sureFor is how long an instance that has just started takes confirmed views only.
	// Without a majority it then serves with what it can learn.
	sureFor = 2 * time.Second
	// fetchPause separates its attempts.
	fetchPause = 50 * time.Millisecond
)

var errLags = errors.New("the newest view has not arrived here yet")

// confirm returns once the local view is as new as a majority's: the replica here may
// have an old disk, or be cut off.
func (m *Members) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmLimit)
	defer cancel()
	newest, err := m.control.ReadRevision(ctx)
	if err != nil {
		return err
	}
	for m.fleet.View().Revision < newest {
		select {
		case <-ctx.Done():
			return errLags
		case <-time.After(confirmPoll):
		}
	}
	return nil
}

// fetchLimit bounds the wait for a view; another instance is asked after it.
const fetchLimit = 600 * time.Millisecond

// fetchLoop fetches the views that others have announced.
func (m *Members) fetchLoop(ctx context.Context) error {
	for {
		a, err := m.behind.Pop(ctx)
		if err != nil {
			return err
		}
		if a.revision <= m.fleet.View().Revision {
			continue
		}
		if err := m.fetch(ctx, a.peer); err != nil {
			m.log.Warn("view not fetched", "step", "view", "peer", a.peer, "revision", a.revision, "error", err)
			if m.fleet.View().Revision == 0 {
				time.AfterFunc(fetchPause, func() { kernel.Signal(m.kick) })
			}
		}
	}
}

func (m *Members) fetch(ctx context.Context, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchLimit)
	defer cancel()
	var v *api.View
	known := m.fleet.View().Revision
	req := fetchRequest{Known: known, Confirm: known == 0 && m.kernel.Clock.Now() < sureFor}
	if err := m.mesh.Call(ctx, peer, fetchMethod, req, &v); err != nil {
		return err
	}
	if v == nil {
		return nil // it was announced before this instance got it from another
	}
	m.fetches.Inc()
	m.fleet.Install(v)
	return nil
}

var _ kernel.Starter = (*Members)(nil)
