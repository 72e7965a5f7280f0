package control

import (
	"context"

	"github.com/pkg/errors"

	"nutmegrouter/internal/consensus"
	"nutmegrouter/internal/fleetstate"
	"nutmegrouter/internal/kernel"
)

// maxCommandBytes bounds a log entry, so that a message that carries it stays within
// the frame limit of a link after it is encoded as text.
const maxCommandBytes = 8 << 20

// maxHistoryEntries bounds the history that one read returns, in changes.
const maxHistoryEntries = 1000

// errRetry makes a reply ask the caller to retry, at the leader if it is known.
var errRetry = errors.New("control: no leader here")

// runOnReplica runs f on the replica's goroutine and waits for the result that it
// passes to done, at once or later. It returns errRetry if the ring of calls is full,
// and the error of ctx when that ends first.
func (c *Control) runOnReplica(ctx context.Context, f func(r *replica, done func(callResult))) callResult {
	ch := make(chan callResult, 1)
	done := func(res callResult) {
		select {
		case ch <- res:
		default:
		}
	}
	if !c.calls.Push(func(r *replica) { f(r, done) }) {
		return callResult{err: errRetry}
	}
	select {
	case res := <-ch:
		return res
	case <-ctx.Done():
		return callResult{err: ctx.Err()}
	}
}

// propose proposes a command and calls done when it has been applied. If a command
// with the same id is pending, done waits for that one. The command carries the
// leader's wall clock time.
func (r *replica) propose(cmd fleetstate.Command, done func(callResult)) {
	if p, ok := r.pendingByID[cmd.ID]; ok {
		p.callbacks = append(p.callbacks, done)
		return
	}
	cmd.UnixMs = r.c.wallClock().UnixMilli()
	data, err := cmd.Encode()
	if err == nil && len(data) > maxCommandBytes {
		err = errors.Errorf("control: command has %d bytes, the limit is %d", len(data), maxCommandBytes)
	}
	if err != nil {
		done(callResult{err: err})
		return
	}
	index, term, err := r.node.Propose(data)
	if err != nil {
		done(callResult{err: errRetry})
		return
	}
	r.c.metrics.proposed.Inc()
	if replaced, ok := r.pendingByIndex[index]; ok {
		r.removePending(index, replaced)
		replaced.complete(callResult{err: errRetry})
	}
	p := &pending{id: cmd.ID, term: term, callbacks: []func(callResult){done}}
	r.pendingByIndex[index], r.pendingByID[cmd.ID] = p, p
}

// findChange handles a retry of a change that was submitted before. It completes done
// with the stored result, which is committed and needs no quorum; or adds done to the
// pending proposal. For a new change it completes done without a result on the leader,
// and with errRetry elsewhere.
func (r *replica) findChange(id string, done func(callResult)) {
	if stored, ok := r.state.ChangeResult(id); ok {
		done(callResult{result: fleetstate.Result{Submit: &stored}})
		return
	}
	if p, ok := r.pendingByID[id]; ok {
		p.callbacks = append(p.callbacks, done)
		return
	}
	if r.node.Role() != consensus.Leader {
		done(callResult{err: errRetry})
		return
	}
	done(callResult{})
}

// readIndex calls done with the state after a quorum has confirmed the leader (a
// linearizable read).
func (r *replica) readIndex(done func(callResult)) {
	r.lastReadID++
	if r.node.ReadIndex(r.lastReadID) != nil {
		done(callResult{err: errRetry})
		return
	}
	r.pendingReads[r.lastReadID] = done
}

// transferLeadership starts or continues a transfer of leadership to another voter.
// The result reports whether the replica still leads and a voter can take over.
func (r *replica) transferLeadership() callResult {
	transferring := r.node.Role() == consensus.Leader && r.node.TransferLeadership()
	return callResult{transferring: transferring}
}

// moveIntervalTicks is the interval at which the leader checks for due steps of
// planned moves.
const moveIntervalTicks = 4

// proposeMoves proposes the due steps of planned moves.
func (r *replica) proposeMoves() {
	if r.ticks%moveIntervalTicks != 0 {
		return
	}
	for _, step := range r.state.DueMoveSteps(r.c.wallClock().UnixMilli()) {
		r.propose(fleetstate.Command{ID: r.c.ids.next(), Move: &step}, func(res callResult) { r.recordMove(step, res) })
	}
}

// recordMove records an event for a step of a planned move that was applied, and logs
// a step that was skipped.
func (r *replica) recordMove(step fleetstate.MoveStep, res callResult) {
	if res.err != nil || res.result.Move == fleetstate.MoveNone {
		return
	}
	r.c.kernel.Events.Record(kernel.Event{
		Kind: "move", Step: string(res.result.Move), Detail: step.Move, Revision: r.state.Revision(),
	})
	if res.result.Move == fleetstate.MoveSkipped {
		r.c.kernel.Log.Warn("move skipped: a pool would have no target left", "step", "move", "move", step.Move)
	}
}
