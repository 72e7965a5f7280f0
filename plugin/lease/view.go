package lease

import (
	"context"
	"encoding/json"
	"nutmegrouter/internal/kernel"
	"time"

	"github.com/pkg/errors"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/lease"
)

const (
	fetchMethod     = "view.fetch"
	fetchTimeout    = time.Second            // for one peer's response
	fetchRetryDelay = 100 * time.Millisecond // after all peers with a newer view failed
	confirmTimeout  = 2 * time.Second        // for one read confirmed by the control quorum
	confirmInterval = 100 * time.Millisecond // between two such reads
)

// fetchRequest requests a view newer than KnownRevision.
type fetchRequest struct {
	KnownRevision uint64 `json:"known"`
}

// handleFetch returns the local view, or null if it is not newer than the known one.
func (r *Runner) handleFetch(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var req fetchRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.WithMessage(err, "view.fetch")
	}
	if v := r.fleet.View(); v.Revision > req.KnownRevision {
		return v, nil
	}
	return nil, nil
}

// viewChanged passes the new revision to the node and sends a heartbeat at once, so
// that peers fetch the view without waiting for the next periodic heartbeat.
func (r *Runner) viewChanged(v *api.View) {
	r.update(func(n *lease.Node, now time.Duration) { n.SetRevision(now, v.Revision) })
	kernel.Signal(r.sendNow)
}

// fetchLoop fetches the view whenever a peer reports a newer one.
func (r *Runner) fetchLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.fetchNow:
		}
		if r.fetchNewest(ctx) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(fetchRetryDelay):
		}
	}
}

// fetchNewest tries the peers with a newer view, the newest first, until one sends a
// newer view. It returns false if there are such peers and all of them failed.
func (r *Runner) fetchNewest(ctx context.Context) bool {
	r.mu.Lock()
	peers := r.node.PeersAhead()
	r.mu.Unlock()
	for _, peer := range peers {
		if err := r.fetchFrom(ctx, peer); err != nil {
			r.log.Debug("view fetch failed", "step", fetchMethod, "peer", peer, "error", err)
			continue
		}
		return true
	}
	return len(peers) == 0
}

// fetchFrom fetches the view of one peer and installs it. It returns an error if that
// view is missing, incomplete or not newer than the local one.
func (r *Runner) fetchFrom(ctx context.Context, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var v *api.View
	known := r.fleet.View().Revision
	if err := r.mesh.Call(ctx, peer, fetchMethod, fetchRequest{KnownRevision: known}, &v); err != nil {
		return err
	}
	if v == nil || v.Revision <= known || v.Config == nil {
		return errors.Errorf("peer %s sent no newer view", peer)
	}
	r.viewFetches.Inc()
	r.fleet.Install(v)
	return nil
}

// confirmLoop reads the newest revision from the control quorum until the node is a
// witness. The replies of a majority of witnesses can make it one as well.
func (r *Runner) confirmLoop(ctx context.Context) error {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for r.control != nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if r.isWitness() {
			return nil
		}
		if r.clock.Now() >= r.startedAt+lease.RestartAbstention { // reads that start earlier do not count
			r.confirm(ctx)
		}
	}
	return nil
}

// isWitness reports whether this instance counts as a witness.
func (r *Runner) isWitness() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.IsWitness(r.clock.Now())
}

// confirm reads the newest revision from the control quorum and passes it to the node.
func (r *Runner) confirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	readStart := r.clock.Now()
	revision, err := r.control.ReadRevision(ctx)
	if err != nil {
		r.log.Debug("read of the newest revision failed", "step", "confirm", "error", err)
		return
	}
	r.update(func(n *lease.Node, now time.Duration) { n.ConfirmRevision(now, readStart, revision) })
}
