// Package fleetrun lays out a small fleet on loopback ports and runs its
// processes: nutmegd instances and one nutmegstandin with all targets. Tests, the
// demo and the benchmark use it; nutmegd never does.
package fleetrun
