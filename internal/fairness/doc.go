// Package fairness keeps the virtual service of each workspace of one pool and
// orders the backlogged workspaces by it (start-time fair queueing with
// weights).
//
// The package is pure: it has no clock, goroutine or lock. Charge and Settle
// must be paired by the caller with the same estimate. While two workspaces i
// and j are backlogged, their service per weight differs by at most
// (Lmax_i+U_i)/w_i + (Lmax_j+U_j)/w_j, with Lmax the largest true cost and U
// the sum of the estimate errors of running work.
package fairness
