// Package fleetstate implements the replicated state machine of the control log. It
// holds the configuration document, the data centres out of service, the progress of
// planned moves, the results of submitted changes, the history of revisions, the claims
// of requests with an idempotency key, the fencing tokens for orders to targets, and the
// rollouts of services.
//
// The state machine is deterministic. Equal sequences of log entries give equal states
// and equal results on every replica and after every restart, with or without a snapshot
// in between. Its only clock is the time in the entries, which never goes backwards.
// Commands are idempotent: applying one again changes nothing.
package fleetstate
