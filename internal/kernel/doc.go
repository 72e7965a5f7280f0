// Package kernel is the plug-in runtime of the daemon: it constructs the enabled
// plug-ins, connects them through services and rings (bounded queues), and runs
// their goroutines (duties) until the process stops.
//
// A plug-in registers a constructor in init. The kernel constructs and provisions
// the enabled plug-ins in ascending order, then validates all of them, then starts
// all of them. A planned stop calls Drain in reverse order, then ends all duties,
// then calls Cleanup in reverse order. The first duty that fails ends the process.
package kernel
