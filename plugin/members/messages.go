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

// RPC methods between instances. The mesh uses the responses to heartbeats to
// detect dead links.
const (
	heartbeatMethod   = "beat"
	leaderMethod      = "members.leader"
	viewChangedMethod = "view.changed"
	viewFetchMethod   = "view.fetch"
)

// heartbeatRequest asks a control instance for the leader, the newest view revision
// and the membership.
type heartbeatRequest struct {
	// ControlsChecksum is the checksum of the list of control instances that the receiver
	// last sent to this sender; 0 = none.
	ControlsChecksum uint32 `json:"k,omitempty"`
}

// heartbeatResponse is the state of the control cluster as the responder sees it. An
// entry instance fills in Revision only.
type heartbeatResponse struct {
	Leader string `json:"l,omitempty"`
	Term   uint64 `json:"t,omitempty"`
	// Revision is the revision of the view in force at the responder.
	Revision uint64 `json:"r,omitempty"`
	// Controls lists the control instances, sorted; empty if the requester has this list.
	Controls []string `json:"c,omitempty"`
	// Entries is the number of entry instances linked to the responder.
	Entries int `json:"n,omitempty"`
}

// leaderNotification announces a new control leader and its term.
type leaderNotification struct {
	Leader string `json:"l"`
	Term   uint64 `json:"t"`
}

// viewNotification announces the revision of the sender's newest view.
type viewNotification struct {
	Revision uint64 `json:"r"`
}

// fetchRequest asks for a view newer than KnownRevision; 0 = the requester has none.
type fetchRequest struct {
	KnownRevision uint64 `json:"known"`
	// Confirm asks for a view that is at least as new as the newest one confirmed by a
	// majority of the control instances.
	Confirm bool `json:"confirm,omitempty"`
}

// announcedView is a view revision that a peer has announced.
type announcedView struct {
	peer     string
	revision uint64
}

// checksum returns the CRC-32 of the names in their order; 0 for no names.
func checksum(names []string) uint32 { return crc32.ChecksumIEEE([]byte(strings.Join(names, " "))) }

// sendHeartbeats sends a heartbeat to each reachable control instance, each in its own
// goroutine so that an unresponsive one does not delay the others.
func (m *Members) sendHeartbeats(ctx context.Context) {
	for _, peer := range m.ControlInstances() {
		if peer == m.mesh.Self() || !m.mesh.Reachable(peer) {
			continue
		}
		m.heartbeats.Inc()
		go m.sendHeartbeat(ctx, peer)
	}
}

// sendHeartbeat sends one heartbeat to a peer and applies the response: the control
// instances, the leader, the number of entry instances and the newest revision.
func (m *Members) sendHeartbeat(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	m.mu.Lock()
	knownControls := checksum(m.reports[peer].controls)
	m.mu.Unlock()
	var r heartbeatResponse
	if err := m.mesh.Call(ctx, peer, heartbeatMethod, heartbeatRequest{ControlsChecksum: knownControls}, &r); err != nil {
		m.unansweredHeartbeats.Inc()
		return
	}
	m.mu.Lock()
	report := m.reports[peer]
	report.receivedAt = m.kernel.Clock.Now()
	changed := len(r.Controls) > 0 && !slices.Equal(r.Controls, report.controls)
	if changed {
		report.controls = r.Controls
	}
	m.reports[peer] = report
	m.mu.Unlock()
	if changed {
		m.dialControls()
	}
	m.setEntryCount(r.Entries)
	m.updateLeader(r.Leader, r.Term)
	m.queueFetch(peer, r.Revision)
}

// handleHeartbeat returns a heartbeatResponse. The list of control instances is left
// out if the requester has it.
func (m *Members) handleHeartbeat(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var req heartbeatRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.WithMessage(err, heartbeatMethod)
	}
	r := heartbeatResponse{Revision: m.fleet.View().Revision}
	if m.control == nil {
		return r, nil
	}
	s := m.control.Status()
	r.Leader, r.Term, r.Entries = s.Leader, s.Term, m.EntryCount()
	controls := slices.Sorted(slices.Values(s.Members))
	if checksum(controls) != req.ControlsChecksum {
		r.Controls = controls
	}
	return r, nil
}

// statusChanged records the leader of the local control replica, and notifies all linked
// instances if it is this instance.
func (m *Members) statusChanged(s api.ControlStatus) {
	m.updateLeader(s.Leader, s.Term)
	if s.Role != "leader" {
		return
	}
	if err := m.mesh.NotifyAll(m.mesh.Peers(), leaderMethod, leaderNotification{s.Leader, s.Term}); err != nil {
		m.log.Error("leader not announced", "step", "leader", "error", err)
	}
}

// handleLeader applies a leaderNotification.
func (m *Members) handleLeader(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var n leaderNotification
	if err := json.Unmarshal(params, &n); err != nil {
		return nil, errors.WithMessage(err, leaderMethod)
	}
	m.updateLeader(n.Leader, n.Term)
	return nil, nil
}

// announceView notifies the linked entry instances of a new view. Control instances
// receive views through the control log.
func (m *Members) announceView(revision uint64) {
	// An instance that misses the notification gets the revision from its next heartbeat.
	if err := m.mesh.NotifyAll(m.linkedEntries(), viewChangedMethod, viewNotification{revision}); err != nil {
		m.log.Error("view not announced", "step", "view", "error", err)
	}
}

// handleViewChanged applies a viewNotification.
func (m *Members) handleViewChanged(_ context.Context, from string, params json.RawMessage) (any, error) {
	var n viewNotification
	if err := json.Unmarshal(params, &n); err != nil {
		return nil, errors.WithMessage(err, viewChangedMethod)
	}
	m.queueFetch(from, n.Revision)
	return nil, nil
}

// queueFetch queues the fetch of an announced view that is newer than the local one.
// It does nothing on control instances, which receive views through the control log only.
func (m *Members) queueFetch(peer string, revision uint64) {
	if m.control == nil && revision > m.fleet.View().Revision {
		m.announcedViews.Push(announcedView{peer, revision})
	}
}

// handleViewFetch returns the local view, or null if it is not newer than the
// requester's. It fails if a confirmed view is requested and this replica cannot confirm
// or catch up in time.
func (m *Members) handleViewFetch(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var req fetchRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.WithMessage(err, viewFetchMethod)
	}
	if req.Confirm && m.control != nil {
		if err := m.waitForNewestView(ctx); err != nil {
			return nil, errors.WithMessage(err, viewFetchMethod)
		}
	}
	if v := m.fleet.View(); v.Revision > req.KnownRevision {
		return v, nil
	}
	return nil, nil
}

// Timing of view fetches that require confirmation.
const (
	// confirmTimeout bounds the quorum read and the wait for the local replica to catch up.
	confirmTimeout      = 400 * time.Millisecond
	confirmPollInterval = 5 * time.Millisecond
	// confirmedStartPeriod is how long after its start an instance without a view accepts
	// confirmed views only. After that it accepts any view, so that it can serve while
	// there is no majority.
	confirmedStartPeriod = 2 * time.Second
	// fetchRetryDelay separates the attempts to fetch the first view.
	fetchRetryDelay = 50 * time.Millisecond
)

// errReplicaBehind is returned when the local replica did not catch up within confirmTimeout.
var errReplicaBehind = errors.New("the newest view has not arrived here yet")

// waitForNewestView waits until the local view is at least as new as the newest revision
// confirmed by a majority. The local replica may be outdated because it runs on an old
// disk or is partitioned. It fails if the quorum read fails, and with errReplicaBehind
// if the replica has not caught up after confirmTimeout.
func (m *Members) waitForNewestView(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	newest, err := m.control.ReadRevision(ctx)
	if err != nil {
		return err
	}
	for m.fleet.View().Revision < newest {
		select {
		case <-ctx.Done():
			return errReplicaBehind
		case <-time.After(confirmPollInterval):
		}
	}
	return nil
}

// fetchTimeout bounds one fetch of a view; the next announced view, possibly of another
// peer, is fetched after it.
const fetchTimeout = 600 * time.Millisecond

// fetchLoop fetches announced views that are newer than the local one. While the instance
// has no view, a failed fetch triggers heartbeats, which announce the view again.
func (m *Members) fetchLoop(ctx context.Context) error {
	for {
		a, err := m.announcedViews.Pop(ctx)
		if err != nil {
			return err
		}
		if a.revision <= m.fleet.View().Revision {
			continue
		}
		if err := m.fetch(ctx, a.peer); err != nil {
			m.log.Warn("view not fetched", "step", "view", "peer", a.peer, "revision", a.revision, "error", err)
			if m.fleet.View().Revision == 0 {
				time.AfterFunc(fetchRetryDelay, func() { kernel.Signal(m.heartbeatDue) })
			}
		}
	}
}

// fetch fetches a newer view from a peer and installs it.
func (m *Members) fetch(ctx context.Context, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var v *api.View
	knownRevision := m.fleet.View().Revision
	req := fetchRequest{KnownRevision: knownRevision, Confirm: knownRevision == 0 && m.kernel.Clock.Now() < confirmedStartPeriod}
	if err := m.mesh.Call(ctx, peer, viewFetchMethod, req, &v); err != nil {
		return err
	}
	if v == nil {
		return nil // no newer view: this instance got it from another peer meanwhile
	}
	m.viewFetches.Inc()
	m.fleet.Install(v)
	return nil
}

var _ kernel.Starter = (*Members)(nil)
