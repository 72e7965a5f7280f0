// Package soak runs the real programs of a fleet with the profile "routes" as
// processes of one machine, plays random faults from outside them, and checks from
// what callers, targets and operators see that the promises hold.
//
// A run is determined by its seed, but for the timing of the processes. Callers
// use connections until their instance is gone; faults come in series and overlap.
// Only processes that the run has started are signalled, by their ids.
package soak
