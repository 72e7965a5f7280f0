// Package consensus is a replicated log: elections with pre-vote, a leader that
// steps down when it hears from no quorum, snapshots, learners, single-step
// membership changes, leadership transfer and reads confirmed by a quorum.
//
// The package is pure. A Node has no clock, goroutine, file or socket. Time
// enters by Tick, messages by Step, commands by Propose. The caller repeats
//
//	rd := n.Ready()
//	// 1. write rd.Snapshot, rd.Hard and rd.Entries and sync them
//	// 2. send rd.Messages
//	// 3. restore rd.Snapshot, apply rd.Committed, answer rd.Reads
//	n.Advance(rd)
//
// while HasReady reports true, without any other call in between. Messages may
// be lost, delayed, doubled and reordered. Guarantees, provided step 1 is
// durable before step 2: at most one leader per term, equal logs up to any index
// with an equal term, and no committed entry is lost or replaced.
package consensus
