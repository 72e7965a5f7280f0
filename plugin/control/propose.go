package control

import (
	"context"

	"github.com/pkg/errors"

	"nutmegrouter/internal/consensus"
	"nutmegrouter/internal/fleetstate"
	"nutmegrouter/internal/kernel"
)

// maxCommandBytes bounds a log entry, so that a message with it stays within the
// frame limit of a link after encoding as text.
const maxCommandBytes = 8 << 20

// maxHistory bounds the history that one read returns.
const maxHistory = 1000

// errRetry tells the caller to try again, on another replica if it knows one.
var errRetry = errors.New("control: no leader here")

// inLoop runs f on the replica's goroutine and waits for its answer.
func (c *Control) inLoop(ctx context.Context, f func(r *replica, done func(answer))) answer {
	ch := make(chan answer, 1)
	done := func(a answer) {
		select {
		case ch <- a:
		default:
		}
	}
	if !c.calls.Push(func(r *replica) { f(r, done) }) {
		return answer{err: errRetry}
	}
	select {
	case a := <-ch:
		return a
	case <-ctx.Done():
		return answer{err: ctx.Err()}
	}
}

// propose appends a command to the log, unless an earlier copy of it is under
// way. The time of the entry is the leader's.
func (r *replica) propose(cmd fleetstate.Command, done func(answer)) {
	if p, ok := r.proposed[cmd.ID]; ok {
		p.done = append(p.done, done)
		return
	}
	cmd.UnixMs = r.c.wall().UnixMilli()
	data, err := cmd.Encode()
	if err == nil && len(data) > maxCommandBytes {
		err = errors.Errorf("control: command has %d bytes, the limit is %d", len(data), maxCommandBytes)
	}
	if err != nil {
		done(answer{err: err})
		return
	}
	index, term, err := r.node.Propose(data)
	if err != nil {
		done(answer{err: errRetry})
		return
	}
	r.c.metrics.proposed.Inc()
	if old, ok := r.waiting[index]; ok {
		r.forget(index, old)
		old.answer(answer{err: errRetry})
	}
	p := &pending{id: cmd.ID, term: term, done: []func(answer){done}}
	r.waiting[index], r.proposed[cmd.ID] = p, p
}

// known answers a resend of a change that has a result, or joins it to its first
// copy while that is under way. A stored result is committed, so no quorum needs
// to confirm it. Otherwise it answers without a result.
func (r *replica) known(id string, done func(answer)) {
	if stored, ok := r.state.Change(id); ok {
		done(answer{result: fleetstate.Result{Submit: &stored}})
		return
	}
	if p, ok := r.proposed[id]; ok {
		p.done = append(p.done, done)
		return
	}
	if r.node.Role() != consensus.Leader {
		done(answer{err: errRetry})
		return
	}
	done(answer{})
}

// read answers with the state that a quorum confirms.
func (r *replica) read(done func(answer)) {
	r.nextRead++
	if r.node.ReadIndex(r.nextRead) != nil {
		done(answer{err: errRetry})
		return
	}
	r.reads[r.nextRead] = done
}

func (r *replica) handOver() answer {
	leads := r.node.Role() == consensus.Leader && r.node.Transfer()
	return answer{leads: leads}
}

// moveTicks is the interval at which the leader looks for due steps of moves.
const moveTicks = 4

// moves proposes the steps of planned moves that are due.
func (r *replica) moves() {
	if r.ticks%moveTicks != 0 {
		return
	}
	for _, step := range r.state.Due(r.c.wall().UnixMilli()) {
		r.propose(fleetstate.Command{ID: r.c.ids.next(), Move: &step}, func(a answer) { r.noteMove(step, a) })
	}
}

func (r *replica) noteMove(step fleetstate.MoveStep, a answer) {
	if a.err != nil || a.result.Move == fleetstate.MoveNone {
		return
	}
	r.c.kernel.Events.Record(kernel.Event{
		Kind: "move", Step: string(a.result.Move), Detail: step.Move, Revision: r.state.Revision(),
	})
	if a.result.Move == fleetstate.MoveSkipped {
		r.c.kernel.Log.Warn("move skipped: a pool would have no target left", "step", "move", "move", step.Move)
	}
}
