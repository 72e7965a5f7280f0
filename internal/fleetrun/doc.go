// Package fleetrun generates the files of a small fleet on loopback ports and runs
// its processes: nutmegd instances and one nutmegstandin process that simulates all
// targets. Tests, the demo and the benchmark use it; nutmegd does not.
package fleetrun
