// Package soak is a randomised fault-injection test of a fleet with the profile
// "routes". It runs the real programs as processes of one machine, generates load,
// injects faults from outside the processes, and checks the fleet's guarantees
// against what callers, targets and operators observed.
//
// The seed determines the requests and the sequence of faults; the timing of the
// processes still varies between runs. HTTP clients keep their connections to an
// instance until it closes them. Faults run in two concurrent series and overlap.
// Signals go only to processes that the run has started, by their ids.
package soak
