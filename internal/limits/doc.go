// Package limits implements adaptive concurrency limits for the targets of one pool
// and picks the target with the largest free share of its limit.
//
// A target counts as cold until a response or a load report is evidence that it is
// warm. The number of unconfirmed requests never exceeds the cold capacity. The
// number of all requests never exceeds the limit, which starts at the cold capacity,
// grows by one with each piece of evidence and falls back to the cold capacity at
// any sign that the target is cold. The package reads no clock: the caller passes the
// time, which must not decrease. A Set is not safe for concurrent use.
package limits
