// Package schedule is the protocol between the owner of a pool and the routers
// that queue requests for it.
//
// Owner turns demand and target limits into grants; Router is the side that
// keeps the waiting and running requests of one router. Both are pure state
// machines: time and messages are arguments, messages are results. Time must
// not go back. Messages may be lost, delayed, doubled and reordered.
//
// A router numbers its requests, its messages and its full reports. Each full
// report starts a new generation: it replaces everything the owner knew of this
// router, and the router ignores grants of former generations. So a lost message
// costs one report and never a slot, and a late grant never starts a request
// twice.
package schedule
