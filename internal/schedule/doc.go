// Package schedule implements weighted fair scheduling of one pool across entry
// instances: the protocol between the owner of the pool and the instances that
// queue requests for it.
//
// Owner turns the announced requests and the limits of the targets into grants;
// EntryQueues keeps the waiting and running requests of one instance. Both are pure
// state machines: time and messages are arguments, messages are results. Time
// must not go back. Messages may be lost, duplicated, delayed and reordered.
//
// An instance numbers its requests, its messages and its full reports. Each full
// report starts a new generation: it replaces the owner's records of the
// instance, and the instance ignores grants of earlier generations. So a lost
// message costs one full report but no slot, and a delayed grant never starts a
// request twice.
package schedule
