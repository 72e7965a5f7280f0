// Package consensus implements the Raft consensus algorithm: a replicated log
// with leader election, pre-vote, check quorum, snapshots, learners, single-server
// membership changes, leadership transfer and linearisable reads (ReadIndex).
//
// A Node is a state machine without clock, goroutine, file or socket. Tick
// advances its time, Step passes it a message and Propose a command. The caller
// repeats
//
//	rd := n.Ready()
//	// 1. write rd.Snapshot, rd.HardState and rd.Entries and sync them
//	// 2. send rd.Messages
//	// 3. restore rd.Snapshot, apply rd.Committed, serve rd.Reads
//	n.Advance(rd)
//
// while HasReady reports true, and calls no other method that changes the Node
// between Ready and Advance. The network may lose, delay, duplicate and reorder
// messages. If step 1 is durable before step 2, the following holds: there is at
// most one leader per term, logs that agree on the term of an index are equal up
// to that index, and no committed entry is lost or replaced.
package consensus
