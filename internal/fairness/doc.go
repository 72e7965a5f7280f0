// Package fairness implements weighted start-time fair queueing: it accounts for
// the virtual service of each workspace of one pool and orders the backlogged
// workspaces by it.
//
// The package has no clock, goroutine or lock. For each Charge, the caller calls
// Settle or Refund once with the estimate that Charge returned. While two
// workspaces i and j are backlogged, their service per weight differs by at most
// (Lmax_i+U_i)/w_i + (Lmax_j+U_j)/w_j, where Lmax is the largest true cost of a
// request and U the sum of the absolute estimate errors of running requests.
package fairness
